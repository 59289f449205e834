import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  addTime,
  instant,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { ShutdownSequence } from './shutdown-sequence';
import type { AdmissionQuery } from './shutdown-sequence';

const GRACE = seconds(8);

interface Observed {
  stoppedAt: number | undefined;
  closedIdleAt: number | undefined;
  endedAt: number | undefined;
  /** When responses that had begun were broken off. */
  brokenOffAt: number | undefined;
  /** When responses were reset that only the end of their connections marks. */
  resetAt: number | undefined;
}

const STREAM = { kind: 'stream', pauseLimit: undefined } as const;
const WHOLE = { kind: 'whole' } as const;

/**
 * Runs a shutdown; `running` gives the number of running requests by the time since its
 * start, and whether they have been told to end.
 */
async function shutDown(
  running: (sinceStart: number, areEnded: boolean) => number,
  grace: (sinceStart: number) => Milliseconds = () => GRACE,
  step: Milliseconds = milliseconds(50),
  heldUp: Milliseconds = milliseconds(0),
): Promise<Observed> {
  const timers = new ManualTimerService();
  const observed: Observed = {
    stoppedAt: undefined,
    closedIdleAt: undefined,
    endedAt: undefined,
    brokenOffAt: undefined,
    resetAt: undefined,
  };
  const sequence = new ShutdownSequence(() => grace(timers.now()));
  sequence.start(addTime(timers.now(), milliseconds(0 - heldUp)), timers.now());
  sequence
    .waitUntilDrained(timers, {
      running: () => running(timers.now(), observed.endedAt !== undefined),
      closeIdle: () => {
        observed.closedIdleAt ??= timers.now();
      },
      endRunning: scope => {
        observed.endedAt ??= timers.now();
        if (scope === 'all') {
          observed.brokenOffAt ??= timers.now();
        }
      },
      resetUnframed: () => {
        observed.resetAt ??= timers.now();
      },
    })
    .then(() => {
      observed.stoppedAt = timers.now();
    })
    .catch((error: unknown) => {
      throw error;
    });
  for (
    let count = 0;
    count < 200 && observed.stoppedAt === undefined;
    count += 1
  ) {
    timers.advance(step);
    await Promise.resolve();
    await Promise.resolve();
  }
  return observed;
}

describe('ShutdownSequence', () => {
  it('keeps an idle router up until the balancer and callers had time to switch to others', async () => {
    const { stoppedAt, closedIdleAt } = await shutDown(() => 0);
    expect(closedIdleAt).to.be.within(2600, 4000);
    expect(stoppedAt).to.be.within(closedIdleAt ?? 0, 5000);
  });

  it('waits for running requests', async () => {
    const { stoppedAt } = await shutDown(sinceStart =>
      sinceStart < 6000 ? 3 : 0,
    );
    expect(stoppedAt).to.be.within(6000, 7000);
  });

  it('refuses streams after the balancer delay, and any request that might not end in time', () => {
    const sequence = new ShutdownSequence(() => GRACE);
    const accepts = (sinceStart: number) => {
      const now = instant(1000 + sinceStart);
      const long = {
        repeatable: true,
        expiresAt: addTime(now, milliseconds(12_000)),
      };
      const short = { ...long, expiresAt: addTime(now, milliseconds(600)) };
      return [
        sequence.accepts({ answer: STREAM, ...long }, now),
        sequence.accepts({ answer: WHOLE, ...short }, now),
        sequence.accepts({ answer: WHOLE, ...long }, now),
      ];
    };
    expect(accepts(-1000)).to.deep.equal([true, true, true]);
    sequence.start(instant(1000));
    expect(accepts(2000)).to.deep.equal([true, true, true]);
    expect(accepts(3000)).to.deep.equal([false, true, false]);
    expect(accepts(7000)).to.deep.equal([false, false, false]);
  });

  // Guards against refusing what ends in time, and taking what does not.
  it('takes any request that times out before the router has to answer', () => {
    const sequence = new ShutdownSequence(() => GRACE);
    sequence.start(instant(0));
    const query = { answer: WHOLE, repeatable: false };
    const answersBy = sequence.answersBy ?? instant(0);
    expect(answersBy).to.be.within(7000, 7500);
    const accepts = (now: number, expiresAt: number) =>
      sequence.accepts(
        { ...query, expiresAt: instant(expiresAt) },
        instant(now),
      );
    expect(accepts(6000, answersBy)).to.equal(true);
    expect(accepts(6000, answersBy + 1)).to.equal(false);
    expect(accepts(answersBy, answersBy)).to.equal(false);
  });

  // Guards against an order of which the caller never learns whether it ran.
  it('never takes a plain request that may not be repeated and might not end in time', () => {
    const sequence = new ShutdownSequence(() => GRACE);
    sequence.start(instant(0));
    const accepts = (query: Omit<AdmissionQuery, 'expiresAt'>) =>
      sequence.accepts({ ...query, expiresAt: instant(9000) }, instant(100));
    expect(accepts({ answer: WHOLE, repeatable: false })).to.equal(false);
    expect(accepts({ answer: WHOLE, repeatable: true })).to.equal(true);
    expect(accepts({ answer: STREAM, repeatable: false })).to.equal(true);
  });

  // Guards against a request that is held at a silent endpoint until the end of the stop.
  it('repeats a request while its response is expected in time, and no other one', () => {
    const sequence = new ShutdownSequence(() => GRACE);
    const goal = seconds(1);
    const continues = (
      query: Omit<AdmissionQuery, 'expiresAt'>,
      sinceStart: number,
    ) =>
      sequence.continues(
        { ...query, expiresAt: instant(20_000) },
        goal,
        instant(sinceStart),
      );
    const lookup = { answer: WHOLE, repeatable: true };
    const resumable = { answer: STREAM, repeatable: true };
    expect(continues({ answer: WHOLE, repeatable: false }, 0)).to.equal(true);
    sequence.start(instant(0));
    const lastStart = (sequence.answersBy ?? 0) - goal;
    for (const query of [lookup, resumable]) {
      expect(continues(query, 4000)).to.equal(true);
      expect(continues(query, lastStart)).to.equal(true);
      expect(continues(query, lastStart + 1)).to.equal(false);
    }
    for (const answer of [WHOLE, STREAM]) {
      expect(continues({ answer, repeatable: false }, 4000)).to.equal(false);
    }
  });

  // Guards against requests that are cut without an answer.
  it('has what still runs answered shortly before it exits, and exits once that is done', async () => {
    const { endedAt, stoppedAt } = await shutDown((_sinceStart, areEnded) =>
      areEnded ? 0 : 1,
    );
    expect(endedAt).to.be.within(7000, 7500);
    expect(stoppedAt).to.be.within((endedAt ?? 0) + 1, 7500);
  });

  // Guards against a process that is killed as it still waits by an earlier setting.
  it('heeds a shorter grace period that is set while it runs, and no longer one', async () => {
    const shorter = await shutDown(
      () => 1,
      now => seconds(now < 1000 ? 8 : 5),
    );
    expect(shorter.endedAt).to.be.within(4000, 4500);
    expect(shorter.stoppedAt).to.be.within(4300, 4700);
    const longer = await shutDown(
      () => 1,
      now => seconds(now < 1000 ? 8 : 20),
    );
    expect(longer.stoppedAt).to.be.within(7300, 7700);
  });

  // Guards against streams that are broken off although they could go on, as the process was held up before the signal.
  it('counts the time of what has begun to respond from when it handled the signal', async () => {
    for (const heldUp of [0, 530, 700, 1100, 3000]) {
      const { brokenOffAt, stoppedAt } = await shutDown(
        () => 1,
        () => GRACE,
        milliseconds(50),
        milliseconds(heldUp),
      );
      expect(brokenOffAt).to.be.within(7300, 7700);
      expect(stoppedAt).to.be.within(7300, 7700);
    }
  });

  // Guards against requests without a response that the kill cuts, as its time counts from an earlier signal.
  it('counts the time of what has not begun to respond from the earliest time of the signal', async () => {
    const { endedAt } = await shutDown(
      () => 1,
      () => GRACE,
      milliseconds(50),
      milliseconds(1100),
    );
    expect(endedAt).to.be.within(5900, 6400);
  });

  // Guards against a kill that passes for the end of a response.
  it('resets unframed responses before the earliest kill', async () => {
    for (const heldUp of [0, 700, 1500]) {
      const { resetAt } = await shutDown(
        () => 1,
        () => GRACE,
        milliseconds(50),
        milliseconds(heldUp),
      );
      expect(resetAt).to.be.within(7400 - heldUp, 7700 - heldUp);
    }
  });

  // Guards against margins that take more of a short grace period than its last sixth.
  it('breaks nothing off before the last sixth of the grace period', async () => {
    for (const grace of [1, 2, 3, 4, 6, 30]) {
      const { brokenOffAt, stoppedAt } = await shutDown(
        () => 1,
        () => seconds(grace),
        milliseconds(10 * grace),
      );
      expect(brokenOffAt).to.be.at.least((grace * 1000 * 5) / 6);
      expect(stoppedAt).to.be.below(grace * 1000);
    }
  });

  // Guards against a balancer that still sends connections to a router which was held up and has exited.
  it('listens for the balancer delay after it handled the signal', async () => {
    const { stoppedAt, closedIdleAt } = await shutDown(
      () => 0,
      () => GRACE,
      milliseconds(50),
      milliseconds(1500),
    );
    expect(closedIdleAt).to.be.at.least(2600);
    expect(stoppedAt).to.be.at.least(3000);
  });

  // Guards against answers that are cut off in the moment in which they are written.
  it('leaves time to write the last responses after the process was held up', async () => {
    const { endedAt, stoppedAt } = await shutDown(
      () => 1,
      () => GRACE,
      seconds(9),
    );
    expect(stoppedAt).to.be.greaterThan(endedAt ?? Number.POSITIVE_INFINITY);
  });

  it('answers at once in a grace period that is shorter than its margins', async () => {
    const { endedAt, stoppedAt } = await shutDown(
      () => 1,
      () => milliseconds(300),
    );
    expect(endedAt).to.be.within(0, 100);
    expect(stoppedAt).to.be.within((endedAt ?? 0) + 1, 300);
  });

  it('exits before the end of the grace period even when requests still run', async () => {
    const { stoppedAt } = await shutDown(() => 1);
    expect(stoppedAt).to.be.within(7300, 7700);
  });
});
