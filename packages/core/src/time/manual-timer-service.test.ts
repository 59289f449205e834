import { expect } from 'chai';

import { milliseconds } from '../types/units';
import { ManualTimerService } from './manual-timer-service';

describe('ManualTimerService', () => {
  it('calls listeners in order of due time and not after they were cancelled', () => {
    const timers = new ManualTimerService();
    const fired: string[] = [];
    timers.after(milliseconds(30), now => fired.push(`once@${now}`));
    const cancel = timers.every(milliseconds(20), now =>
      fired.push(`every@${now}`),
    );
    timers.advance(milliseconds(45));
    cancel();
    timers.advance(milliseconds(100));
    expect(fired).to.deep.equal(['every@20', 'once@30', 'every@40']);
  });
});
