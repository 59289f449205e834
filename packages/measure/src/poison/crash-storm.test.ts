import { expect } from 'chai';

import { partFingerprint } from '@sesamegrade/core/poison/suspect';
import {
  fingerprint,
  promptPartId,
  serviceId,
} from '@sesamegrade/core/types/ids';
import { CrashStorm } from './crash-storm';
import type { CrashStormOptions, RequestKind } from './crash-storm';

const SEEDS = 20;
const SECOND = 1000;

const crashing: RequestKind = {
  name: 'crashing',
  perSecond: 5,
  contents: () => [fingerprint('crashing')],
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
  kinds: [crashing, popular, once],
  length: 40 * SECOND,
  downTime: 2000,
  propagationTime: 3000,
  allowedCrashes: 3,
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
    ['in a fleet of 370 routers', { routers: 370, length: 25 * SECOND }],
    ['while a relay dies', { relayDiesAt: 500 }],
    [
      'when it comes rarely',
      { kinds: [{ ...crashing, perSecond: 0.5 }, popular, once] },
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

const partOf = (name: string) =>
  partFingerprint(serviceId('engines'), promptPartId(name));

/** A stream whose content shows as sound after its first events. */
const stream: Omit<RequestKind, 'name' | 'contents'> = {
  perSecond: 15,
  runTime: 2500,
  progressTime: 450,
  crashesEndpoints: false,
  repeatable: true,
};

const crashingStream: Omit<RequestKind, 'name' | 'contents'> = {
  ...stream,
  perSecond: 2,
  runTime: 400,
  crashesEndpoints: true,
};

/** The parts of a chat: of all chats, of its tools, and of one of a few hundred subjects. */
const chatParts = (number: number, tools: string) => [
  partOf('system'),
  partOf(tools),
  partOf(`subject-${number % 300}`),
];

const whole = (name: string, number: number) =>
  fingerprint(`${name}-${number}`);

const chats: RequestKind = {
  ...stream,
  name: 'chats',
  contents: number => [whole('chats', number), ...chatParts(number, 'tools')],
};

/** Shares the first part and the tools with the crashing ones. */
const near: RequestKind = {
  ...stream,
  perSecond: 4,
  name: 'near',
  contents: number => [whole('near', number), ...chatParts(number, 'near')],
};

/** Two parts that always come together, in sound chats only. */
const pair: RequestKind = {
  ...stream,
  perSecond: 2,
  name: 'pair',
  contents: number => [
    whole('pair', number),
    partOf('system'),
    partOf('first'),
    partOf('second'),
  ],
};

const withPart = (
  part: string,
  options: Partial<RequestKind> = {},
): RequestKind => ({
  ...crashingStream,
  name: part,
  contents: number => [
    whole(part, number),
    partOf('system'),
    partOf('near'),
    partOf(part),
  ],
  ...options,
});

const engines: Partial<CrashStormOptions> = {
  endpoints: 6,
  downTime: 3000,
  allowedCrashes: 5,
  length: 60 * SECOND,
};

/** Number of kinds that crash endpoints; each has a bound of its own. */
const crashingKinds = (kinds: readonly RequestKind[]): number =>
  kinds.filter(({ crashesEndpoints }) => crashesEndpoints).length;

// Chats of a few engines that share the first part, some of them a tool or two more,
// while chats with one more part crash each engine that responds to them.
describe('a storm of chats with a prompt part that crashes engines', () => {
  for (const [name, options] of [
    ['of one part', { kinds: [chats, near, pair, withPart('bad')] }],
    [
      'of a rare part',
      { kinds: [chats, near, pair, withPart('bad', { perSecond: 0.3 })] },
    ],
    [
      'of two parts at once',
      { kinds: [chats, near, pair, withPart('bad'), withPart('worse')] },
    ],
    [
      'while engines crash for other reasons',
      {
        kinds: [chats, near, pair, withPart('bad')],
        otherCrashInterval: 4000,
      },
    ],
    [
      'in a large fleet',
      {
        kinds: [
          { ...chats, perSecond: 100 },
          near,
          pair,
          withPart('bad', { perSecond: 5 }),
        ],
        routers: 195,
        endpoints: 87,
        length: 30 * SECOND,
      },
    ],
  ] as const) {
    it(`ends ${name}, and the others are served`, () => {
      const reports = play({ ...engines, ...options });
      const late = reports.map(({ lateArrivals }) => lateArrivals);
      expect(Math.max(...late)).to.be.at.most(3 * crashingKinds(options.kinds));
      for (const kind of ['chats', 'near', 'pair']) {
        expect(laterShare(reports, kind), kind).to.be.at.least(0.9);
      }
    });
  }
});
