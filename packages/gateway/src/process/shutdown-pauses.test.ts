import { expect } from 'chai';

import { TimerService } from '@sesamegrade/core/time/timer-service';
import {
  addTime,
  instant,
  milliseconds,
  seconds,
} from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { ShutdownSequence } from './shutdown-sequence';

const POLL_PERIOD = milliseconds(50);

/** Timers of a process that does not run between two calls of `pass`: each fires once, late. */
class LateTimerService extends TimerService {
  #now = instant(0);

  now(): Instant {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  async pass(time: Milliseconds): Promise<void> {
    this.#now = addTime(this.#now, time);
    this.runDue(this.#now);
    await Promise.resolve();
    await Promise.resolve();
  }

  protected onAdded(): void {
    // The test moves the time itself.
  }
}

describe('ShutdownSequence of a process that was held up', () => {
  let timers: LateTimerService;
  let events: string[];

  beforeEach(() => {
    timers = new LateTimerService();
    events = [];
  });

  function shutDown(
    running: () => number,
    sequence = new ShutdownSequence(() => seconds(8)),
  ): void {
    sequence.start(timers.now());
    sequence
      .waitUntilDrained(timers, {
        running,
        closeIdle: () => undefined,
        endRunning: () => {
          events.push('answers');
        },
        resetUnframed: () => undefined,
      })
      .then(() => {
        events.push('exits');
      })
      .catch((error: unknown) => {
        throw error;
      });
  }

  // Guards against requests that arrived meanwhile, and are cut before they are read.
  it('does not take the time for one in which no request came', async () => {
    shutDown(() => 0);
    await timers.pass(POLL_PERIOD);
    await timers.pass(seconds(3));
    expect(events).to.deep.equal([]);
    for (let count = 0; count < 10; count += 1) {
      await timers.pass(POLL_PERIOD);
    }
    expect(events).to.deep.equal(['exits']);
  });

  // Guards against the same if the process was held up as it was told to stop.
  it('does not take the time before it handled the signal for one in which no request came', async () => {
    const sequence = new ShutdownSequence(() => seconds(8));
    await timers.pass(seconds(5));
    sequence.start(instant(0));
    shutDown(() => 0, sequence);
    await timers.pass(POLL_PERIOD);
    await timers.pass(POLL_PERIOD);
    await timers.pass(POLL_PERIOD);
    expect(events).to.deep.equal([]);
    for (let count = 0; count < 10; count += 1) {
      await timers.pass(POLL_PERIOD);
    }
    expect(events).to.deep.equal(['exits']);
  });

  // Guards against the same at the end of the grace period.
  it('reads once more before it exits', async () => {
    shutDown(() => 0);
    await timers.pass(POLL_PERIOD);
    await timers.pass(milliseconds(7300));
    expect(events).to.deep.equal(['answers']);
    await timers.pass(POLL_PERIOD);
    expect(events).to.deep.equal(['answers', 'exits']);
  });

  // Guards against answers that are cut off in the moment in which they are written.
  it('does not exit in the poll in which the last responses are written', async () => {
    shutDown(() => 1);
    await timers.pass(milliseconds(7600));
    expect(events).to.deep.equal(['answers']);
    await timers.pass(POLL_PERIOD);
    expect(events).to.deep.equal(['answers', 'exits']);
  });
});
