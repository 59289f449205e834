import { expect } from 'chai';

import { Random } from '../random/random';
import { estimateUnseen, NO_UNSEEN_REQUESTS } from '../loads/unseen-requests';
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
        own: 0,
        others: seen[at] ?? 0,
        slots: SLOTS,
        near: false,
        speed: 1,
      })),
      isNoiseKnown
        ? estimateUnseen(RATE_PER_MS * period, sum(seen))
        : NO_UNSEEN_REQUESTS,
      () => random.fraction(),
    );
    const queue = queues[ids.findIndex(id => id === chosen)] ?? [];
    const begin = Math.max(now, queue[queue.length - SLOTS] ?? now);
    waited += begin - now;
    queue.push(begin + WORK_MS);
  }
  return waited / sent;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
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
      own: 0,
      others: load,
      slots: SLOTS,
      near: false,
      speed: 1,
    }));
    for (let count = 0; count < 100; count += 1) {
      const chosen = chooseServiceEndpoint(
        candidates,
        { persistence: 1, running: 0.5 },
        () => random.fraction(),
      );
      expect(chosen).to.equal('e1');
    }
  });

  it('fills the least loaded endpoints up to the load that all will have by the unseen requests', () => {
    const random = new Random(1);
    const candidates = [9, 1, 3].map((load, at) => ({
      id: endpointId(`e${at}`),
      own: 0,
      others: load,
      slots: SLOTS,
      near: false,
      speed: 1,
    }));
    const counts = new Map<string | undefined, number>();
    for (let count = 0; count < 6000; count += 1) {
      const chosen = chooseServiceEndpoint(
        candidates,
        { persistence: 1, running: 5 },
        () => random.fraction(),
      );
      counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
    }
    // Six requests bring e1 and e2 to 5 each.
    expect([...counts.keys()].sort()).to.deep.equal(['e1', 'e2']);
    expect(counts.get('e1')).to.be.within(3900, 4100);
  });

  // Guards against a slow endpoint that gets as many requests as the others, and against one that gets none.
  it('gives less to an endpoint that is slow or that reports requests which no peer counts', () => {
    const random = new Random(1);
    const candidates = [
      { speed: 0.4, correction: 0 },
      { speed: 1, correction: 0 },
      { speed: 1, correction: 2 },
    ].map((reported, at) => ({
      id: endpointId(`e${at}`),
      own: 0,
      others: 0,
      slots: SLOTS,
      near: true,
      ...reported,
    }));
    const counts = [0, 0, 0];
    for (let count = 0; count < 6000; count += 1) {
      const chosen = chooseServiceEndpoint(
        candidates,
        { persistence: 1, running: 9 },
        () => random.fraction(),
      );
      const at = Number(chosen?.slice(1));
      counts[at] = (counts[at] ?? 0) + 1;
    }
    const [slow = 0, usual = 0, fuller = 0] = counts;
    // Ten requests bring e0 to 2, e1 to 5, and e2 from 2 to 5.
    expect(slow).to.be.within(1100, 1300);
    expect(usual).to.be.within(2900, 3100);
    expect(fuller).to.be.within(1700, 1900);
  });
});
