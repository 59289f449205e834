import { expect } from 'chai';
import fc from 'fast-check';

import { fingerprint, routerId } from '../types/ids';
import type { RouterId } from '../types/ids';
import { addTime, instant, milliseconds, seconds } from '../types/units';
import type { Instant } from '../types/units';
import { attemptEvidence } from './attempt-evidence';
import { BrokenAttempts } from './broken-attempts';
import { RelayedSuspects } from './relayed-suspects';
import { crashId } from './suspect';
import { endpointId } from '../types/ids';

const content = fingerprint('content');
const start = instant(0);
/** Longest delay of the first trial: 2 s, up to doubled. */
const FIRST_TRIAL = seconds(4);
const SECOND_TRIAL = seconds(120);
const ROUTERS = 18;

const ids = (count: number): RouterId[] =>
  Array.from({ length: count }, (_value, index) => routerId(`r-${index}`));

function fleet(count: number): RelayedSuspects[] {
  const routers = ids(count);
  return routers.map(
    self => new RelayedSuspects({ self, routers: () => routers }),
  );
}

/** Passes every router's changes to all others, as relays do. */
function exchange(routers: readonly RelayedSuspects[], now: Instant): void {
  for (const router of routers) {
    const changes = router.takeChanges(now);
    const reaches = router.takeReaches();
    for (const other of routers) {
      expect(other.receive(changes, false, now)).to.equal(0);
      expect(other.receiveReaches(reaches, false)).to.equal(0);
    }
  }
}

const kinds = (routers: readonly RelayedSuspects[], now: Instant) =>
  routers.map(router => router.decide(content, now).kind);

describe('RelayedSuspects', () => {
  it('runs content after one crash, and refuses it at every router after two', () => {
    const routers = fleet(3);
    routers[0]?.recordCrash(content, crashId('a'), start);
    routers[1]?.recordCrash(content, crashId('a'), start);
    exchange(routers, start);
    expect(kinds(routers, start)).to.deep.equal(['run', 'run', 'run']);
    routers[2]?.recordCrash(content, crashId('b'), start);
    exchange(routers, start);
    expect(new Set(kinds(routers, start))).to.deep.equal(new Set(['refuse']));
  });

  it('runs content again at every router once a complete response clears it', () => {
    const routers = fleet(3);
    routers[0]?.recordCrash(content, crashId('a'), start);
    routers[0]?.recordCrash(content, crashId('b'), start);
    exchange(routers, start);
    expect(routers[2]?.clear(content, start)).to.equal(true);
    exchange(routers, start);
    expect(kinds(routers, start)).to.deep.equal(['run', 'run', 'run']);
  });

  describe('of a stream', () => {
    const progressAt = (
      routers: readonly RelayedSuspects[],
      events: number,
    ) => {
      routers[2]?.recordProgress([content], events, start);
      exchange(routers, start);
      return new Set(kinds(routers, start));
    };

    // Guards against content that crashes endpoints after some events, and whose runs clear it by these (review/7).
    it('is cleared by a run at any router only after more events than before its crashes', () => {
      const routers = fleet(3);
      routers[0]?.recordCrash(content, crashId('a'), start, 3);
      routers[0]?.recordCrash(content, crashId('b'), start, 2);
      exchange(routers, start);
      expect(progressAt(routers, 2)).to.deep.equal(new Set(['refuse']));
      expect(progressAt(routers, 3)).to.deep.equal(new Set(['run']));
      expect(routers[0]?.suspicion(content)).to.equal('suspect');
      progressAt(routers, 4);
      expect(routers[0]?.suspicion(content)).to.equal('none');
    });

    it('is cleared by two events at least', () => {
      const routers = fleet(3);
      routers[0]?.recordCrash(content, crashId('a'), start);
      exchange(routers, start);
      progressAt(routers, 1);
      expect(routers[0]?.suspicion(content)).to.equal('suspect');
      progressAt(routers, 2);
      expect(routers[0]?.suspicion(content)).to.equal('none');
    });

    // Guards against a router of an older build, or a store, that does not tell how far the runs had come.
    it('is cleared by a complete response only if it is not known when the endpoint crashed', () => {
      const [known, router] = fleet(2);
      known?.recordCrash(content, crashId('a'), start, 3);
      router?.receive(known?.takeChanges(start), false, start);
      router?.recordProgress([content], 1000, start);
      expect(router?.suspicion(content)).to.equal('suspect');
      router?.clearAll([content], start);
      expect(router?.suspicion(content)).to.equal('none');
    });

    it('is told to a new peer with the events before its crashes, and passed on once', () => {
      const [known, joining] = fleet(2);
      known?.recordCrash(content, crashId('a'), start, 3);
      joining?.receive(known?.fullState(start), true, start);
      const reaches = known?.fullReaches(start);
      expect(joining?.receiveReaches(reaches, true)).to.equal(0);
      expect(joining?.takeReaches()).to.deep.equal([
        [content, crashId('a'), 3],
      ]);
      joining?.receiveReaches(reaches, true);
      expect(joining?.takeReaches()).to.deep.equal([]);
      expect(joining?.receiveReaches([['x', 'a', -1], 7], true)).to.equal(2);
    });
  });

  it('tells a new peer all rows, and does not pass on what it knows', () => {
    const [known, joining] = fleet(2);
    known?.recordCrash(content, crashId('a'), start);
    known?.recordCrash(content, crashId('b'), start);
    joining?.receive(known?.fullState(start), true, start);
    expect(joining?.decide(content, start).kind).to.equal('refuse');
    expect(joining?.takeChanges(start)).to.have.length(1);
    joining?.receive(known?.fullState(start), true, start);
    expect(joining?.hasChanges).to.equal(false);
  });

  it('reaches the same rows at all routers in any order of crashes, clearings and messages', () => {
    const step = fc.record({
      router: fc.nat(3),
      crash: fc.option(fc.nat(5), { nil: undefined }),
      sendsTo: fc.option(fc.nat(3), { nil: undefined }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), steps => {
        const routers = fleet(4);
        for (const { router, crash, sendsTo } of steps) {
          const one = routers[router];
          if (crash === undefined) {
            one?.clear(content, start);
          } else {
            one?.recordCrash(content, crashId(`crash-${crash}`), start);
          }
          if (sendsTo !== undefined) {
            routers[sendsTo]?.receive(one?.fullState(start), false, start);
          }
        }
        for (const router of routers) {
          for (const other of routers) {
            other.receive(router.fullState(start), false, start);
          }
        }
        const suspicions = routers.map(router => router.suspicion(content));
        expect(new Set(suspicions).size).to.equal(1);
      }),
      { seed: 31, numRuns: 300 },
    );
  });

  it('lets one router try condemned content once, and the next one much later if that crashes', () => {
    const routers = fleet(ROUTERS);
    routers[0]?.recordCrash(content, crashId('a'), start);
    routers[0]?.recordCrash(content, crashId('b'), start);
    exchange(routers, start);
    let now = start;
    let trials = 0;
    const end = addTime(start, milliseconds(SECOND_TRIAL / 2));
    for (; now < end; now = addTime(now, milliseconds(20))) {
      const due = routers.filter(
        router => router.decide(content, now).kind === 'trial',
      );
      expect(due.length).to.be.at.most(1);
      for (const router of due) {
        trials += 1;
        router.onTrialSent([content], now);
        router.recordCrash(content, crashId(`trial-${trials}`), now);
        exchange(routers, now);
      }
    }
    expect(trials).to.equal(1);
  });

  it('lets other routers try if the first one gets no request', () => {
    const routers = fleet(ROUTERS);
    routers[0]?.recordCrash(content, crashId('a'), start);
    routers[0]?.recordCrash(content, crashId('b'), start);
    exchange(routers, start);
    const due = addTime(start, FIRST_TRIAL);
    const first = kinds(routers, due).indexOf('trial');
    const others = routers.filter((_router, index) => index !== first);
    const later = addTime(due, seconds(6));
    expect(kinds(others, due)).to.include('refuse');
    expect(new Set(kinds(others, later))).to.deep.equal(new Set(['trial']));
  });

  it('names a time to come back that is not over before the trial', () => {
    const [router] = fleet(1);
    router?.recordCrash(content, crashId('a'), start);
    router?.recordCrash(content, crashId('b'), start);
    const decision = router?.decide(content, start);
    expect(decision?.kind).to.equal('refuse');
    if (decision?.kind === 'refuse') {
      const back = addTime(start, decision.retryAfter);
      expect(router?.decide(content, back).kind).to.equal('trial');
    }
  });

  it('names a time to come back that holds after a trial without a result', () => {
    const routers = fleet(1);
    const [router] = routers;
    router?.recordCrash(content, crashId('a'), start);
    router?.recordCrash(content, crashId('b'), start);
    const due = addTime(start, FIRST_TRIAL);
    router?.onTrialSent([content], due);
    const decision = router?.decide(content, due);
    expect(decision?.kind).to.equal('refuse');
    if (decision?.kind === 'refuse') {
      const back = addTime(due, decision.retryAfter);
      expect(router?.decide(content, back).kind).to.equal('trial');
    }
  });

  it('names a time to come back that holds for a request with two condemned contents', () => {
    const [router] = fleet(1);
    const both = [content, fingerprint('other')];
    for (const id of both) {
      router?.recordCrash(id, crashId('a'), start);
      router?.recordCrash(id, crashId('b'), start);
    }
    const decision = router?.decideAll(both, start);
    expect(decision?.kind).to.equal('refuse');
    if (decision?.kind === 'refuse') {
      const back = addTime(start, decision.retryAfter);
      expect(router?.decideAll(both, back).kind).to.equal('trial');
    }
  });

  it('lets another router try once the fleet is smaller', () => {
    const routers = ids(ROUTERS);
    const known = [...routers];
    const fleetOfFewer = routers.map(
      self => new RelayedSuspects({ self, routers: () => known }),
    );
    fleetOfFewer[0]?.recordCrash(content, crashId('a'), start);
    fleetOfFewer[0]?.recordCrash(content, crashId('b'), start);
    exchange(fleetOfFewer, start);
    const due = addTime(start, FIRST_TRIAL);
    const first = kinds(fleetOfFewer, due).indexOf('trial');
    known.splice(first, 1);
    const after = kinds(fleetOfFewer, due);
    expect(after.filter(kind => kind === 'trial')).to.have.length.above(1);
  });

  it('counts malformed rows and ignores them', () => {
    const [router] = fleet(1);
    const malformed = [['x'], ['x', [], [], 0], ['x', ['a'], 'b', 0], 7];
    expect(router?.receive(malformed, true, start)).to.equal(malformed.length);
    expect(router?.size).to.equal(0);
  });
});

describe('BrokenAttempts', () => {
  const endpoint = endpointId('e');

  it('returns each content once for the instance that crashed, unless it broke long before', () => {
    const broken = new BrokenAttempts();
    const other = fingerprint('other');
    const late = addTime(start, seconds(7));
    broken.add(endpoint, crashId('e#1'), [other], start);
    broken.add(endpoint, crashId('e#1'), [content, content], late);
    expect(broken.take(endpoint, late)).to.deep.equal({
      crash: crashId('e#1'),
      ids: [content],
      reaches: new Map([[content, 0]]),
    });
    expect(broken.take(endpoint, late)).to.equal(undefined);
  });

  it('tells the largest number of events that a run of a content had sent', () => {
    const broken = new BrokenAttempts();
    for (const events of [3, 7, 5]) {
      broken.add(endpoint, crashId('e#1'), [content], start, events);
    }
    expect(broken.take(endpoint, start)?.reaches.get(content)).to.equal(7);
  });

  it('forgets what broke at an endpoint that lives on', () => {
    const broken = new BrokenAttempts();
    broken.add(endpoint, crashId('e#1'), [content], start);
    broken.drop(endpoint);
    expect(broken.take(endpoint, start)).to.equal(undefined);
  });
});

describe('attemptEvidence', () => {
  // Guards against content that crashes endpoints after some events, and passes for sound by these.
  it('takes only complete responses for a sign of sound content, and any broken-off one for a possible crash', () => {
    const ended = { isFramed: true };
    const reset = { kind: 'broken', breakage: 'reset' } as const;
    const foreign = { kind: 'broken', breakage: 'foreign-answer' } as const;
    const failed = { kind: 'answered', status: 500 } as const;
    const whole = { kind: 'answered', status: 200 } as const;
    expect(
      [
        { ...ended, result: whole },
        { ...ended, result: whole, isFramed: false },
        { ...ended, result: failed },
        { ...ended, result: reset },
        { ...ended, result: reset, isFramed: false },
        { ...ended, result: foreign },
        { ...ended, result: { kind: 'silent' } as const },
      ].map(attemptEvidence),
    ).to.deep.equal([
      'sound',
      'none',
      'none',
      'broken-off',
      'broken-off',
      'none',
      'none',
    ]);
  });
});
