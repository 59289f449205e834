import { expect } from 'chai';

import { fingerprint } from '@sesamegrade/core/types/ids';
import { CrashStorm } from './crash-storm';
import type { CrashStormOptions, RequestKind } from './crash-storm';

const SEEDS = 20;
const SECOND = 1000;

const guilty: RequestKind = {
  name: 'guilty',
  perSecond: 5,
  contents: () => [fingerprint('guilty')],
  runTime: 40,
  crashesEndpoints: true,
  repeatable: true,
};

const popular: RequestKind = {
  name: 'popular',
  perSecond: 20,
  contents: () => [fingerprint('popular')],
  runTime: 60,
  crashesEndpoints: false,
  repeatable: true,
};

const once: RequestKind = {
  name: 'once',
  perSecond: 30,
  contents: number => [fingerprint(`once-${number}`)],
  runTime: 60,
  crashesEndpoints: false,
  repeatable: false,
};

const base: Omit<CrashStormOptions, 'seed'> = {
  routers: 18,
  endpoints: 3,
  kinds: [guilty, popular, once],
  length: 40 * SECOND,
  downTime: 2000,
  contactTime: 3000,
};

function play(options: Partial<CrashStormOptions>) {
  return Array.from({ length: SEEDS }, (_value, seed) =>
    new CrashStorm({ ...base, seed: seed + 1, ...options }).run(),
  );
}

/** Share of requests of a kind that are served once the fleet must know, over all plays. */
function laterShare(reports: ReturnType<typeof play>, name: string): number {
  const rows = reports.map(({ kinds }) => kinds.get(name));
  const sum = (of: 'laterSent' | 'laterServed') =>
    rows.reduce((total, row) => total + (row?.[of] ?? 0), 0);
  return sum('laterServed') / sum('laterSent');
}

// The same request five times a second at any router, beside a popular sound one and
// calls that may not be repeated, before a service of three endpoints.
describe('a storm of requests that crash endpoints', () => {
  for (const [name, options] of [
    ['in a fleet of 18 routers', {}],
    ['in a fleet of 370 routers', { routers: 370, length: 15 * SECOND }],
    ['while a relay dies', { relayDiesAt: 500 }],
    [
      'when it comes rarely',
      { kinds: [{ ...guilty, perSecond: 0.5 }, popular, once] },
    ],
    ['before endpoints of a large service', { endpoints: 12 }],
  ] as const) {
    it(`ends ${name}, and others are served`, () => {
      const reports = play(options);
      const late = reports.map(({ lateArrivals }) => lateArrivals);
      expect(Math.max(...late)).to.be.at.most(3);
      expect(laterShare(reports, 'popular')).to.be.at.least(0.9);
      expect(laterShare(reports, 'once')).to.be.at.least(0.9);
    });
  }

  it('does not condemn a popular request for good when all endpoints are lost at once', () => {
    const reports = play({
      kinds: [popular, once],
      lossOfAllAt: 5 * SECOND,
    });
    expect(laterShare(reports, 'popular')).to.be.at.least(0.9);
  });
});
