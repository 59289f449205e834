import { expect } from 'chai';

import { MIN_RESPONSE_BYTES, ResponseMemory } from './response-memory';

const MEBIBYTE = 1_048_576;

describe('ResponseMemory', () => {
  it('lets responses hold 32 MiB together, and a little each beyond that', () => {
    const memory = new ResponseMemory(33_554_432);
    const first = memory.open();
    expect(first.set(32 * MEBIBYTE)).to.equal(true);
    const second = memory.open();
    expect(second.set(MIN_RESPONSE_BYTES)).to.equal(true);
    expect(second.set(MIN_RESPONSE_BYTES + 1)).to.equal(false);
    first.set(MEBIBYTE);
    expect(second.set(MEBIBYTE)).to.equal(true);
    expect(memory.total).to.equal(2 * MEBIBYTE);
  });

  // Guards against memory that is never given back, as bytes arrive after the end of a request.
  it('counts nothing of a request that has ended', () => {
    const memory = new ResponseMemory(33_554_432);
    const held = memory.open();
    held.set(MEBIBYTE);
    held.release();
    expect(held.set(MEBIBYTE)).to.equal(true);
    expect(memory.total).to.equal(0);
  });
});
