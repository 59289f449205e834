import { expect } from 'chai';

import type { ProcessEvent } from '../deployment/router-process';
import { PlannedStopRecord } from './planned-stop-record';
import type { StopCall } from './planned-stop-record';

/** A request that runs from 1.1 s on, at a router that stops from 1 s to 4.5 s. */
function play(
  call: Partial<StopCall>,
  events: readonly (readonly [ProcessEvent, number])[] = [],
  prepare: (record: PlannedStopRecord) => void = () => undefined,
): string[] {
  const record = new PlannedStopRecord({
    graceMs: 4000,
    isDetoured: (_router, endpoint) => endpoint === 'detoured',
  });
  const stop = [
    ['SIGTERM', 1000],
    ['exit', 4500],
  ] as const;
  for (const [event, at] of [...stop, ...events].sort(
    (one, other) => one[1] - other[1],
  )) {
    record.recordEvent('r', event, at);
  }
  record.recordRun('a', 'e', 1100);
  prepare(record);
  const times = { from: 1050, to: 4490, expiresAt: 6000 };
  record.recordCall({
    ...{ request: 'a', router: 'r', path: '/', isStream: false, ...times },
    ending: 'cut',
    ...call,
  });
  return record.violations().map(({ promise }) => promise);
}

describe('PlannedStopRecord', () => {
  // Guards against stops that end requests which were passed on without an answer.
  it('finds a request that was passed on and cut, also when the grace is over or SIGTERM repeats', () => {
    const found = ['answered'];
    expect(play({})).to.deep.equal(found);
    expect(play({ from: 500, to: 1010 })).to.deep.equal(found);
    expect(play({}, [['grace-over', 4490]])).to.deep.equal(found);
    expect(play({}, [['SIGTERM', 2000]])).to.deep.equal(found);
    for (const ending of [200, 502, 504, 'left'] as const) {
      expect(play({ ending })).to.deep.equal([]);
    }
    expect(play({ request: 'b' })).to.deep.equal([]);
    expect(play({ from: 4600, to: 4700 })).to.deep.equal(found);
  });

  // Guards against stops that break off plain responses, which cannot be resumed.
  it('finds a plain response that broke off before its time was over, but no stream', () => {
    const ending = 'broke-off';
    expect(play({ ending })).to.deep.equal(['answered']);
    expect(play({ ending, expiresAt: 4490 })).to.deep.equal([]);
    expect(play({ ending, isStream: true })).to.deep.equal([]);
    expect(play({ expiresAt: 4490 })).to.deep.equal(['answered']);
  });

  // Guards against stops that end streams before the last sixth of their grace period, here from 4333 ms on.
  it('excuses a stream that broke off by a limit, or by work in the last sixth on what was sent early', () => {
    const stream = { ending: 'broke-off', isStream: true } as const;
    const found = ['answered'];
    expect(play({ ...stream, to: 4330 })).to.deep.equal(found);
    expect(play({ ...stream, to: 4340 })).to.deep.equal([]);
    expect(play({ ...stream, from: 4001 })).to.deep.equal(found);
    expect(play({ ...stream, from: 4000 })).to.deep.equal([]);
    expect(play({ ...stream, to: 3000, expiresAt: 3001 })).to.deep.equal(found);
    expect(play({ ...stream, to: 3000, expiresAt: 3000 })).to.deep.equal([]);
    expect(play({ ...stream, to: 3000, routeEndsAt: 3000 })).to.deep.equal([]);
    const afterStop = { from: 4600, to: 5600, expiresAt: 9000 };
    expect(play({ ...stream, ...afterStop })).to.deep.equal(found);
    const abandonedAt = (at: number) =>
      play(stream, [], record => {
        record.recordAbandoned('a', 'e', at);
      });
    expect(abandonedAt(4300)).to.deep.equal(found);
    expect(abandonedAt(4340)).to.deep.equal([]);
    const lateEndpoint = (prepare: (record: PlannedStopRecord) => void) =>
      play({ ...stream, request: 'c' }, [], record => {
        record.recordRun('c', 'e', 1100, 3800);
        prepare(record);
      });
    const abandon = (record: PlannedStopRecord) => {
      record.recordAbandoned('c', 'e', 4400);
    };
    const end = (at: number) => (record: PlannedStopRecord) => {
      record.recordEnd('c', 'e', at);
      abandon(record);
    };
    expect(lateEndpoint(() => undefined)).to.deep.equal(found);
    expect(lateEndpoint(abandon)).to.deep.equal([]);
    expect(lateEndpoint(end(3900))).to.deep.equal(found);
    expect(lateEndpoint(end(4350))).to.deep.equal([]);
  });

  // Guards against requests that wait in the router until it closes their connection.
  it('finds a request that was not passed on if its connection ended late without an answer', () => {
    const left = { request: 'b', sentAt: 4200, to: 4450 } as const;
    const found = ['answered'];
    expect(play(left)).to.deep.equal(found);
    expect(play({ ...left, to: 4400 })).to.deep.equal([]);
    expect(play({ ...left, sentAt: undefined })).to.deep.equal([]);
    expect(play({ ...left, ending: 503 })).to.deep.equal([]);
    const heldUp = (from: number, to: number) =>
      play(left, [
        ['hold-up', from],
        ['hold-up-over', to],
      ]);
    expect(heldUp(4100, 4210)).to.deep.equal([]);
    expect(heldUp(3000, 3100)).to.deep.equal(found);
    const paused = (from: number, to: number) =>
      play(left, [], record => {
        record.recordPause(from, to);
      });
    expect(paused(4300, 4360)).to.deep.equal([]);
    expect(paused(4300, 4340)).to.deep.equal(found);
    expect(paused(4000, 4240)).to.deep.equal(found);
    expect(play(left, [['unloaded', 4490]])).to.deep.equal([]);
    expect(play(left, [['unloaded', 900]])).to.deep.equal(found);
    expect(play({}, [['unloaded', 4490]])).to.deep.equal(found);
  });

  // Guards against streams that a router cuts although their endpoints end them in time.
  it('finds a stream that broke off although an endpoint ends it in time', () => {
    const ending = 'broke-off';
    const stream = { ending, isStream: true } as const;
    const runsTo = (end: number, endpoint = 'f') =>
      play(stream, [], record => {
        record.recordRun('a', endpoint, 1100, end);
      });
    expect(runsTo(3800)).to.deep.equal(['answered']);
    expect(runsTo(4200)).to.deep.equal([]);
    expect(runsTo(3800, 'detoured')).to.deep.equal([]);
    const silent = (from: number, to: number) =>
      play(stream, [], record => {
        record.recordRun('a', 'f', 1100, 2000);
        record.recordSilence({ endpoint: 'f', from, to });
      });
    expect(silent(1500, 3500)).to.deep.equal(['answered']);
    expect(silent(1500, 4400)).to.deep.equal([]);
    expect(silent(2400, 4400)).to.deep.equal(['answered']);
  });

  // Guards against a process that is held up early in its stop, and then accepts too much.
  it('excuses a cut by a hold-up only if the last responses were due in it', () => {
    const heldUp = (from: number, to: number) =>
      play({}, [
        ['hold-up', from],
        ['hold-up-over', to],
      ]);
    expect(heldUp(900, 2500)).to.deep.equal(['answered']);
    expect(heldUp(2500, 4300)).to.deep.equal([]);
  });

  // Guards against refusals that promise what is not so.
  it('finds a request that ran although the router refused it as not run', () => {
    expect(play({ ending: 503 })).to.deep.equal(['not-run']);
    expect(play({ ending: 503, request: 'b' })).to.deep.equal([]);
  });

  // Guards against excuses without a trace.
  it('excuses a cut only by a break of the last endpoint, a kill, a freeze or a reader that paused', () => {
    const brokeAt = (at: number) => (record: PlannedStopRecord) => {
      record.recordBreak('a', 'e', at);
    };
    expect(play({}, [], brokeAt(4480))).to.deep.equal([]);
    expect(play({}, [], brokeAt(4600))).to.have.length(1);
    expect(play({}, [['SIGKILL', 4480]])).to.deep.equal([]);
    expect(play({}, [['SIGKILL', 900]])).to.have.length(1);
    const frozen = (from: number, to: number) =>
      play({}, [
        ['SIGSTOP', from],
        ['SIGCONT', to],
      ]);
    expect(frozen(2000, 3000)).to.deep.equal([]);
    expect(frozen(500, 900)).to.have.length(1);
    expect(play({ pausedUntil: 4600 })).to.have.length(1);
    const long = (record: PlannedStopRecord) => {
      record.recordLong('a');
    };
    expect(play({ pausedUntil: 4600 }, [], long)).to.deep.equal([]);
    expect(play({ pausedUntil: 4400 }, [], long)).to.have.length(1);
    const brokeFirst = (record: PlannedStopRecord) => {
      record.recordBreak('a', 'e', 2000);
      record.recordRun('a', 'f', 2010);
    };
    expect(play({}, [], brokeFirst)).to.have.length(1);
  });
});
