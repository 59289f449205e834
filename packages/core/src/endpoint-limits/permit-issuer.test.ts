import { expect } from 'chai';

import {
  endpointId,
  requestId,
  routerId,
  serviceId,
  teamId,
} from '../types/ids';
import { instant, milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import { PermitIssuer } from './permit-issuer';
import type { PermitAnswer, PermitQuery } from './permit-query';

const router = routerId('r');
const second = (value: number) => instant(value * 1000);

const newIssuer = () => new PermitIssuer({ share: () => 1, running: () => 0 });

let queryCount = 0;

function queryOf(fields: Partial<PermitQuery> = {}): PermitQuery {
  queryCount += 1;
  return {
    request: requestId(String(queryCount)),
    service: serviceId('s'),
    endpoints: [{ id: endpointId('e'), perSecond: 2, concurrent: undefined }],
    rank: 0,
    team: teamId('t'),
    maxWait: milliseconds(0),
    lifetime: milliseconds(1000),
    ...fields,
  };
}

/** Sends a query; the result has the answer once there is one. */
function ask(issuer: PermitIssuer, fields: Partial<PermitQuery>, now: Instant) {
  const result: { answer: PermitAnswer | undefined } = { answer: undefined };
  issuer.request(
    queryOf(fields),
    router,
    answer => {
      result.answer = answer;
    },
    now,
  );
  return result;
}

describe('PermitIssuer', () => {
  for (const perSecond of [0.3, 2.3, 40, 200]) {
    it(`issues at most ${perSecond} permits a second beyond a small burst, and nearly as many`, () => {
      const issuer = newIssuer();
      const endpoints = [
        { id: endpointId('e'), perSecond, concurrent: undefined },
      ];
      const grantedAt: number[] = [];
      for (let now = 0; now < 40_000; now += 3) {
        if (
          ask(issuer, { endpoints }, instant(now)).answer?.kind === 'granted'
        ) {
          grantedAt.push(now);
        }
      }
      const most = Math.max(
        ...grantedAt.map(
          from => grantedAt.filter(at => at >= from && at < from + 4000).length,
        ),
      );
      expect(most).to.be.at.most(1.5 * perSecond * 4 + 5);
      expect(grantedAt.length).to.be.at.least(0.9 * perSecond * 40 - 1);
    });
  }

  it('has no burst for a limit that it did not know before', () => {
    const issuer = newIssuer();
    expect(ask(issuer, {}, second(100)).answer?.kind).to.equal('refused');
    expect(ask(issuer, {}, second(100.5)).answer?.kind).to.equal('granted');
  });

  it('still issues one permit now and then for an endpoint that accepts nothing', () => {
    const issuer = newIssuer();
    const endpoints = [
      { id: endpointId('e'), perSecond: 0, concurrent: undefined },
    ];
    let granted = 0;
    for (let at = 0; at < 100; at += 1) {
      const { answer } = ask(issuer, { endpoints }, second(at));
      granted += answer?.kind === 'granted' ? 1 : 0;
    }
    expect(granted).to.be.within(8, 10);
  });

  it('grants the most urgent waiting query first, then the team with the fewest recent permits', () => {
    const issuer = newIssuer();
    const maxWait = milliseconds(10_000);
    ask(issuer, { maxWait, team: teamId('large') }, second(0));
    issuer.tick(second(0.5));
    const results = {
      large: ask(issuer, { maxWait, team: teamId('large') }, second(0.5)),
      small: ask(issuer, { maxWait, team: teamId('small') }, second(0.5)),
      urgent: ask(
        issuer,
        { maxWait, team: teamId('large'), rank: -1 },
        second(0.5),
      ),
    };
    const granted: string[] = [];
    for (let at = 0.6; at < 3; at += 0.1) {
      issuer.tick(second(at));
      for (const [name, { answer }] of Object.entries(results)) {
        if (answer?.kind === 'granted' && !granted.includes(name)) {
          granted.push(name);
        }
      }
    }
    expect(granted).to.deep.equal(['urgent', 'small', 'large']);
  });

  it('refuses at once what would wait too long, with the time until its turn', () => {
    const issuer = newIssuer();
    const maxWait = milliseconds(1100);
    const first = ask(issuer, { maxWait }, second(0));
    const next = ask(issuer, { maxWait }, second(0));
    const late = ask(issuer, { maxWait }, second(0));
    expect(first.answer).to.equal(undefined);
    expect(next.answer).to.equal(undefined);
    expect(late.answer).to.deep.equal({ kind: 'refused', retryAfter: 1500 });
    issuer.tick(second(1.2));
    expect(first.answer?.kind).to.equal('granted');
    expect(next.answer?.kind).to.equal('granted');
    expect(issuer.hasWaiting).to.equal(false);
  });

  it('refuses what has waited as long as it may', () => {
    const issuer = newIssuer();
    const waiting = ask(issuer, { maxWait: milliseconds(600) }, second(0));
    ask(issuer, { maxWait: milliseconds(600), rank: -1 }, second(0.1));
    issuer.tick(second(0.5));
    issuer.tick(second(0.6));
    expect(waiting.answer?.kind).to.equal('refused');
  });

  // Guards against an endpoint that stays without permits after a restart, as those of
  // its former instance have not lapsed.
  it('issues all permits of an endpoint again that was restarted', () => {
    const issuer = newIssuer();
    const endpoints = [
      { id: endpointId('e'), perSecond: undefined, concurrent: 2 },
    ];
    const kind = () => ask(issuer, { endpoints }, second(0)).answer?.kind;
    expect([kind(), kind(), kind()]).to.deep.equal([
      'granted',
      'granted',
      'refused',
    ]);
    issuer.remove(endpointId('e'));
    expect(kind()).to.equal('granted');
  });

  it('tells many routers to ask again later, so that their queries do not grow with the fleet', () => {
    const issuer = newIssuer();
    const waits: number[] = [];
    for (let index = 0; index < 370; index += 1) {
      issuer.request(
        queryOf(),
        routerId(`r-${index}`),
        answer => {
          waits.push(answer.kind === 'refused' ? answer.retryAfter : 0);
        },
        second(0),
      );
    }
    expect(waits.at(-1)).to.be.at.least(30_000);
  });
});
