import { expect } from 'chai';

import { milliseconds } from '@sesamegrade/core/types/units';
import { SystemTimerService } from './system-timer-service';

describe('SystemTimerService', () => {
  let now: number;
  let events: string[];
  let timeouts: { readonly delay: number; readonly callback: () => void }[];
  let afterReads: (() => void)[];
  let timers: SystemTimerService;

  beforeEach(() => {
    now = 0;
    events = [];
    timeouts = [];
    afterReads = [];
    timers = new SystemTimerService({
      now: () => now,
      setTimeout: (callback, delay) => {
        timeouts.push({ delay, callback });
        return undefined;
      },
      afterReads: callback => {
        afterReads.push(callback);
      },
    });
    timers.every(milliseconds(50), at => {
      events.push(`poll at ${at}`);
    });
    timers.after(milliseconds(900), at => {
      events.push(`limit at ${at}`);
    });
  });

  /** Lets the event loop read what has arrived. */
  function readAll(): void {
    afterReads.splice(0).forEach(callback => {
      callback();
    });
  }

  /** Runs the timeout that was set last at a time. */
  function wakeAt(time: number): void {
    now = time;
    timeouts.at(-1)?.callback();
  }

  it('fires timers that are due, and waits for the next one', () => {
    wakeAt(51);
    expect(events).to.deep.equal(['poll at 51']);
    expect(timeouts.map(({ delay }) => delay)).to.deep.equal([50, 50]);
  });

  // Guards against time limits that end what was answered while the process was held up.
  it('fires late timers only behind what arrived while the event loop was held up', () => {
    wakeAt(1000);
    events.push('answer read');
    expect(events).to.deep.equal(['answer read']);
    now = 1001;
    afterReads.forEach(callback => {
      callback();
    });
    expect(events.slice(1)).to.deep.equal(['poll at 1001', 'limit at 1001']);
  });

  it('fires none that was cancelled by what arrived', () => {
    const cancel = timers.after(milliseconds(500), () => {
      events.push('silence');
    });
    wakeAt(1000);
    cancel();
    timers.stop();
    afterReads.forEach(callback => {
      callback();
    });
    expect(events).to.deep.equal([]);
  });

  // Guards against what arrived during a hold-up, such as a signal, and is dated to its end.
  it('tells since when the process may have been held up until the late timers have fired', () => {
    wakeAt(51);
    now = 90;
    expect(timers.heldUpSince).to.equal(undefined);
    now = 1300;
    expect(timers.heldUpSince).to.equal(51);
    wakeAt(1301);
    expect(timers.heldUpSince).to.equal(51);
    now = 1302;
    readAll();
    expect(timers.heldUpSince).to.equal(51);
    readAll();
    expect(timers.heldUpSince).to.equal(undefined);
  });

  // Guards against a hold-up that hides behind one before it, on a processor that is always busy.
  it('goes back to the last timers behind which everything was read', () => {
    wakeAt(100);
    readAll();
    wakeAt(400);
    readAll();
    expect(timers.heldUpSince).to.equal(100);
    readAll();
    expect(timers.heldUpSince).to.equal(undefined);
  });

  it('sets no second timeout while it waits for reads', () => {
    wakeAt(1000);
    timers.after(milliseconds(10), () => undefined);
    expect(timeouts).to.have.length(1);
  });
});
