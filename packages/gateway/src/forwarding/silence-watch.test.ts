import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type {
  Cancel,
  TimerListener,
} from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { SilenceWatch } from './silence-watch';

class CountingTimerService extends ManualTimerService {
  added = 0;

  override after(delay: Milliseconds, listener: TimerListener): Cancel {
    this.added += 1;
    return super.after(delay, listener);
  }
}

describe('SilenceWatch', () => {
  let timers: CountingTimerService;
  let limit: Milliseconds;
  let isAwaited: boolean;
  let silences: number[];
  let watch: SilenceWatch;

  beforeEach(() => {
    timers = new CountingTimerService();
    limit = milliseconds(900);
    isAwaited = true;
    silences = [];
    watch = new SilenceWatch({
      timers,
      limit: () => limit,
      isAwaited: () => isAwaited,
      onSilence: now => silences.push(now),
    });
    watch.restart();
  });

  it('reports silence again for each limit that it lasts', () => {
    timers.advance(milliseconds(2000));
    expect(silences).to.deep.equal([900, 1800]);
  });

  it('counts from the last sign of life', () => {
    timers.advance(milliseconds(500));
    watch.restart();
    timers.advance(milliseconds(899));
    expect(silences).to.deep.equal([]);
    timers.advance(milliseconds(1));
    expect(silences).to.deep.equal([1400]);
  });

  it('applies a limit that became shorter', () => {
    limit = milliseconds(300);
    timers.advance(milliseconds(100));
    watch.restart();
    timers.advance(milliseconds(300));
    expect(silences).to.deep.equal([400]);
  });

  it('reports nothing while no bytes are awaited, nor after its end', () => {
    isAwaited = false;
    timers.advance(milliseconds(1000));
    isAwaited = true;
    watch.stop();
    timers.advance(milliseconds(5000));
    expect(silences).to.deep.equal([]);
  });

  // Guards against processor time for timers with each of the events that all streams relay.
  it('sets no timer with each event of a stream', () => {
    for (let event = 0; event < 1000; event += 1) {
      timers.advance(milliseconds(9));
      watch.restart();
    }
    expect(timers.added).to.be.at.most(12);
  });
});
