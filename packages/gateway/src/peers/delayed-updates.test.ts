import { expect } from 'chai';

import { DelayedUpdates } from './delayed-updates';

describe('DelayedUpdates', () => {
  // Guards against a relay that keeps an earlier count of a router's requests.
  it('keeps the order of the entries of a topic', () => {
    const updates = new DelayedUpdates();
    updates.add({ l: [['e', 1]], p: [['part', 'e', 'reading']] });
    updates.add({ l: [['e', 2]] });
    expect(updates.take()).to.deep.equal({
      l: [
        ['e', 1],
        ['e', 2],
      ],
      p: [['part', 'e', 'reading']],
    });
    expect(updates.isEmpty).to.equal(true);
  });

  // Guards against messages that the receiver rejects as a whole.
  it('is full before a message holds more entries than receivers take', () => {
    const updates = new DelayedUpdates();
    const parts = new Array<unknown>(500).fill(['part', 'e', 'held']);
    updates.add({ p: parts });
    updates.add({ p: parts });
    expect(updates.isFull).to.equal(false);
    updates.add({ p: [['part', 'e', 'held']] });
    expect(updates.isFull).to.equal(true);
  });
});
