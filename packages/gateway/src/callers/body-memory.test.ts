import { expect } from 'chai';

import { BodyMemory } from './body-memory';
import type { RequestBody } from './request-body';

describe('BodyMemory', () => {
  // Guards against an object for each fragment of a body that is sent byte by byte.
  it('holds at most twice the bytes of a body, whatever the size of its fragments', () => {
    const memory = new BodyMemory({ total: Infinity, incomplete: 1_000_000 });
    const body = memory.open(() => undefined);
    const sent = Buffer.from(
      Array.from({ length: 50_000 }, (_, at) => at % 251),
    );
    for (const at of sent.keys()) {
      body.append(sent.subarray(at, at + 1), 100_000);
    }
    expect(body.size).to.equal(sent.length);
    expect(memory.total).to.be.within(sent.length, 2 * sent.length);
    const complete = body.take();
    expect(complete.bytes.equals(sent)).to.equal(true);
    expect(memory.total).to.equal(sent.length);
    complete.release();
    expect(memory.total).to.equal(0);
  });

  it('reserves no more than the announced length', () => {
    const memory = new BodyMemory({ total: Infinity, incomplete: 1_000_000 });
    const body = memory.open(() => undefined);
    body.append(Buffer.alloc(600), 1000);
    body.append(Buffer.alloc(400), 1000);
    expect(memory.total).to.equal(1000);
    expect(body.take()).to.have.length(1000);
  });

  // Guards against stalled bodies that take the memory of those that make progress.
  it('gives up the bodies that have not grown for longest', () => {
    const memory = new BodyMemory({ total: Infinity, incomplete: 4096 });
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
    const memory = new BodyMemory({ total: Infinity, incomplete: 1000 });
    const body = memory.open(() => {
      throw new Error('given up');
    });
    body.append(Buffer.alloc(5000), 10_000);
    expect(body.take()).to.have.length(5000);
  });

  describe('with complete bodies', () => {
    const KIBIBYTE = 1024;
    const LARGE = 100 * KIBIBYTE;
    let memory: BodyMemory;

    beforeEach(() => {
      memory = new BodyMemory({ total: 3 * LARGE, incomplete: 2 * LARGE });
    });

    /** A complete body that was read after a reservation. */
    function completeBody(): RequestBody {
      const body = memory.open(() => undefined);
      expect(memory.reserve(body, LARGE, () => undefined)).to.equal(true);
      body.append(Buffer.alloc(LARGE), LARGE);
      return body.take();
    }

    // Guards against a router that runs out of memory by the whole bodies of requests that run.
    it('counts a body until it is released', () => {
      const bodies = [completeBody(), completeBody(), completeBody()];
      expect(memory.total).to.equal(3 * LARGE);
      const next = memory.open(() => undefined);
      let isGranted = false;
      const grant = () => {
        isGranted = true;
      };
      expect(memory.reserve(next, LARGE, grant)).to.equal(false);
      bodies[1]?.release();
      expect(isGranted).to.equal(true);
      expect(memory.total).to.equal(3 * LARGE);
    });

    it('releases what only a request that did not run needs first, and no body that is being written', () => {
      const [needed, repeatable, unlikely] = [
        completeBody(),
        completeBody(),
        completeBody(),
      ];
      repeatable.markReleasable('possible-retry');
      unlikely.markReleasable('unlikely-retry');
      completeBody();
      expect(unlikely.isHeld).to.equal(false);
      expect(repeatable.isHeld).to.equal(true);
      completeBody();
      expect(repeatable.isHeld).to.equal(false);
      expect(needed.isHeld).to.equal(true);
      const next = memory.open(() => undefined);
      expect(memory.reserve(next, LARGE, () => undefined)).to.equal(false);
    });

    it('keeps a body that is needed again', () => {
      const [first, second] = [completeBody(), completeBody()];
      completeBody();
      first.markReleasable('unlikely-retry');
      second.markReleasable('possible-retry');
      first.markNeeded();
      completeBody();
      expect(first.isHeld).to.equal(true);
      expect(second.isHeld).to.equal(false);
    });

    it('grants the memory in the order of the requests for it', () => {
      const bodies = [completeBody(), completeBody(), completeBody()];
      const granted: string[] = [];
      for (const name of ['first', 'second']) {
        memory.reserve(
          memory.open(() => undefined),
          LARGE,
          () => granted.push(name),
        );
      }
      bodies[0]?.release();
      expect(granted).to.deep.equal(['first']);
      bodies[1]?.release();
      expect(granted).to.deep.equal(['first', 'second']);
    });

    // Guards against reservations of callers that send nothing, and keep others out.
    it('takes the memory of a reserved body that has not grown while another one waited', () => {
      const givenUp: string[] = [];
      const [stalled, growing] = ['stalled', 'growing'].map(name =>
        memory.open(() => givenUp.push(name)),
      );
      expect(
        stalled && memory.reserve(stalled, LARGE, () => undefined),
      ).to.equal(true);
      expect(
        growing && memory.reserve(growing, LARGE, () => undefined),
      ).to.equal(true);
      const waiting = memory.open(() => undefined);
      let isGranted = false;
      const grant = () => {
        isGranted = true;
      };
      expect(memory.reserve(waiting, LARGE, grant)).to.equal(false);
      growing?.append(Buffer.alloc(KIBIBYTE), LARGE);
      expect(memory.stopWaiting(waiting)).to.equal(true);
      expect(isGranted).to.equal(true);
      expect(givenUp).to.deep.equal(['stalled']);
      const next = memory.open(() => undefined);
      memory.reserve(next, LARGE, () => undefined);
      growing?.append(Buffer.alloc(KIBIBYTE), LARGE);
      waiting.append(Buffer.alloc(KIBIBYTE), LARGE);
      expect(memory.stopWaiting(next)).to.equal(false);
    });

    it('gives up a body of unknown length for which there is no room', () => {
      const bodies = [completeBody(), completeBody(), completeBody()];
      let isGivenUp = false;
      const growing = memory.open(() => {
        isGivenUp = true;
      });
      growing.append(Buffer.alloc(KIBIBYTE), LARGE);
      expect(isGivenUp).to.equal(true);
      expect(memory.total).to.equal(bodies.length * LARGE);
    });
  });
});
