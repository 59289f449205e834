import { expect } from 'chai';

import { Random } from '../random/random';
import { endpointId } from '../types/ids';
import { chooseServiceEndpoint } from './service-placement';

const SLOTS = 6;
const WORK_MS = 43;
const RATE_PER_MS = 0.14;

/**
 * Simulates many routers that send requests to three endpoints of six slots and
 * see each other's loads only once per `period`, in milliseconds. Returns the
 * mean wait for a slot.
 */
function meanWait(period: number, isNoiseKnown: boolean): number {
  const random = new Random(7);
  const ids = ['a', 'b', 'c'].map(endpointId);
  const queues = ids.map(() => [] as number[]);
  let seen = [0, 0, 0];
  const unseen = isNoiseKnown ? RATE_PER_MS * period : 0;
  let [sent, waited] = [0, 0];
  for (let now = 0; now < 60_000; now += 1) {
    queues.forEach(queue => {
      while ((queue[0] ?? Infinity) <= now) {
        queue.shift();
      }
    });
    if (now % period === 0) {
      seen = queues.map(queue => queue.length);
    }
    if (random.fraction() >= RATE_PER_MS) {
      continue;
    }
    sent += 1;
    const chosen = chooseServiceEndpoint(
      ids.map((id, at) => ({
        id,
        load: seen[at] ?? 0,
        slots: SLOTS,
        near: false,
        speed: 1,
      })),
      unseen,
      () => random.fraction(),
    );
    const queue = queues[ids.findIndex(id => id === chosen)] ?? [];
    const begin = Math.max(now, queue[queue.length - SLOTS] ?? now);
    waited += begin - now;
    queue.push(begin + WORK_MS);
  }
  return waited / sent;
}

describe('chooseServiceEndpoint', () => {
  it('does not herd to the endpoint that was least loaded at the last load update', () => {
    expect(meanWait(300, true)).to.be.below(WORK_MS / 10);
  });

  it('halves the wait against trusting loads that are up to 0.3 s old', () => {
    expect(meanWait(300, true)).to.be.below(meanWait(300, false) / 2);
  });

  it('chooses the least loaded endpoint when few requests are unseen', () => {
    const random = new Random(1);
    const candidates = [4, 1, 3].map((load, at) => ({
      id: endpointId(`e${at}`),
      load,
      slots: SLOTS,
      near: false,
      speed: 1,
    }));
    for (let count = 0; count < 100; count += 1) {
      const chosen = chooseServiceEndpoint(candidates, 5, () =>
        random.fraction(),
      );
      expect(chosen).to.equal('e1');
    }
  });
});
