import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { instant, milliseconds, seconds } from '@sesamegrade/core/types/units';
import { ShutdownSequence } from './shutdown-sequence';

const grace = seconds(8);

interface Observed {
  stoppedAt: number | undefined;
  closedIdleAt: number | undefined;
}

/** Runs a stop with the number of requests under way at each time. */
async function stop(running: (past: number) => number): Promise<Observed> {
  const timers = new ManualTimerService();
  const observed: Observed = { stoppedAt: undefined, closedIdleAt: undefined };
  const plan = new ShutdownSequence(() => grace);
  plan.start(timers.now());
  void plan
    .waitUntilDrained(
      timers,
      () => running(timers.now()),
      () => {
        observed.closedIdleAt ??= timers.now();
      },
    )
    .then(() => {
      observed.stoppedAt = timers.now();
    });
  for (
    let step = 0;
    step < 200 && observed.stoppedAt === undefined;
    step += 1
  ) {
    timers.advance(milliseconds(50));
    await Promise.resolve();
    await Promise.resolve();
  }
  return observed;
}

describe('StopPlan', () => {
  it('gives the balancer and callers time to go elsewhere before an idle router ends', async () => {
    const { stoppedAt, closedIdleAt } = await stop(() => 0);
    expect(closedIdleAt).to.be.within(2600, 4000);
    expect(stoppedAt).to.be.within(closedIdleAt ?? 0, 5000);
  });

  it('waits for requests that are under way', async () => {
    const { stoppedAt } = await stop(past => (past < 6000 ? 3 : 0));
    expect(stoppedAt).to.be.within(6000, 7000);
  });

  it('takes no long answer that callers can have elsewhere, and no call that might not end', () => {
    const plan = new ShutdownSequence(() => grace);
    const stream = { kind: 'stream', pauseLimit: undefined } as const;
    const whole = { kind: 'whole' } as const;
    expect(plan.accepts(stream, instant(0))).to.equal(true);
    plan.start(instant(1000));
    const admits = (past: number) => [
      plan.accepts(stream, instant(1000 + past)),
      plan.accepts(whole, instant(1000 + past)),
    ];
    expect(admits(2000)).to.deep.equal([true, true]);
    expect(admits(3000)).to.deep.equal([false, true]);
    expect(admits(7000)).to.deep.equal([false, false]);
  });

  it('ends before the grace does, whatever still runs', async () => {
    const { stoppedAt } = await stop(() => 1);
    expect(stoppedAt).to.be.within(7300, 7700);
  });
});
