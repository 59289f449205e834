import { expect } from 'chai';

import { BodyMemory } from './body-memory';

describe('BodyMemory', () => {
  // Guards against an object for each fragment of a body that is sent byte by byte.
  it('holds at most twice the bytes of a body, whatever the size of its fragments', () => {
    const memory = new BodyMemory(1_000_000);
    const body = memory.open(() => undefined);
    const sent = Buffer.from(
      Array.from({ length: 50_000 }, (_, at) => at % 251),
    );
    for (const at of sent.keys()) {
      body.append(sent.subarray(at, at + 1), 100_000);
    }
    expect(body.size).to.equal(sent.length);
    expect(memory.total).to.be.within(sent.length, 2 * sent.length);
    expect(body.take().equals(sent)).to.equal(true);
    expect(memory.total).to.equal(0);
  });

  it('reserves no more than the announced length', () => {
    const memory = new BodyMemory(1_000_000);
    const body = memory.open(() => undefined);
    body.append(Buffer.alloc(600), 1000);
    body.append(Buffer.alloc(400), 1000);
    expect(memory.total).to.equal(1000);
    expect(body.take()).to.have.length(1000);
  });

  // Guards against stalled bodies that take the memory of those that make progress.
  it('gives up the bodies that have not grown for longest', () => {
    const memory = new BodyMemory(4096);
    const givenUp: string[] = [];
    const [first, second, third] = ['first', 'second', 'third'].map(name =>
      memory.open(() => givenUp.push(name)),
    );
    first?.append(Buffer.alloc(1024), 4096);
    second?.append(Buffer.alloc(1024), 4096);
    first?.append(Buffer.alloc(1024), 4096);
    third?.append(Buffer.alloc(2000), 4096);
    expect(givenUp).to.deep.equal(['second']);
    expect(memory.total).to.equal(4048);
    expect(first?.take()).to.have.length(2048);
  });

  it('has room for a single body above its limit', () => {
    const memory = new BodyMemory(1000);
    const body = memory.open(() => {
      throw new Error('given up');
    });
    body.append(Buffer.alloc(5000), 10_000);
    expect(body.take()).to.have.length(5000);
  });
});
