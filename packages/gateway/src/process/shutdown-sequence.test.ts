import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { instant, milliseconds, seconds } from '@sesamegrade/core/types/units';
import { ShutdownSequence } from './shutdown-sequence';

const GRACE = seconds(8);

interface Observed {
  stoppedAt: number | undefined;
  closedIdleAt: number | undefined;
}

/** Runs a shutdown; `running` gives the number of running requests by the time since its start. */
async function shutDown(
  running: (sinceStart: number) => number,
): Promise<Observed> {
  const timers = new ManualTimerService();
  const observed: Observed = { stoppedAt: undefined, closedIdleAt: undefined };
  const sequence = new ShutdownSequence(() => GRACE);
  sequence.start(timers.now());
  sequence
    .waitUntilDrained(
      timers,
      () => running(timers.now()),
      () => {
        observed.closedIdleAt ??= timers.now();
      },
    )
    .then(() => {
      observed.stoppedAt = timers.now();
    })
    .catch((error: unknown) => {
      throw error;
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
    const stream = { kind: 'stream', pauseLimit: undefined } as const;
    const complete = { kind: 'whole' } as const;
    expect(sequence.accepts(stream, instant(0))).to.equal(true);
    sequence.start(instant(1000));
    const accepts = (sinceStart: number) => [
      sequence.accepts(stream, instant(1000 + sinceStart)),
      sequence.accepts(complete, instant(1000 + sinceStart)),
    ];
    expect(accepts(2000)).to.deep.equal([true, true]);
    expect(accepts(3000)).to.deep.equal([false, true]);
    expect(accepts(7000)).to.deep.equal([false, false]);
  });

  it('exits before the end of the grace period even when requests still run', async () => {
    const { stoppedAt } = await shutDown(() => 1);
    expect(stoppedAt).to.be.within(7300, 7700);
  });
});
