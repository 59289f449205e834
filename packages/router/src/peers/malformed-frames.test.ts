import { encode } from '@msgpack/msgpack';
import { expect } from 'chai';
import fc from 'fast-check';

import { decodeFrame } from './peer-frame';

const LARGE_LIST = [0xdd, 0x01, 0xff, 0xff, 0xff];
const NESTED_LISTS = Buffer.from(new Array(40).fill(LARGE_LIST).flat());

describe('frames of a peer', () => {
  // Guards against a small frame that claims lists of any length, or nests them.
  it('are refused if they claim more than they hold, or nest too deep', () => {
    for (const frame of [NESTED_LISTS, Buffer.alloc(100_000, 0x91)]) {
      expect(() => decodeFrame(frame)).to.throw('frame');
    }
    expect(() => decodeFrame(Buffer.concat([encode(1), encode(2)]))).to.throw();
    const empties = Buffer.alloc(1_000_000, 0x80);
    empties.set([0xdd, 0x00, 0x0f, 0x42, 0x3b]);
    expect(() => decodeFrame(empties)).to.throw('frame');
  });

  it('are decoded if they are sound', () => {
    const leaf = fc.oneof(
      fc.string(),
      fc.string({ minLength: 32, maxLength: 400 }),
      fc.integer(),
      fc.maxSafeInteger(),
      fc.double({ noNaN: true }),
      fc.boolean(),
      fc.constant(null),
      fc.uint8Array(),
    );
    const key = fc.string().filter(text => text !== '__proto__');
    const { value } = fc.letrec(tie => ({
      value: fc.oneof(
        { maxDepth: 5 },
        leaf,
        fc.array(tie('value'), { maxLength: 20 }),
        fc.dictionary(key, tie('value'), { maxKeys: 20 }),
      ),
    }));
    fc.assert(
      fc.property(value, message => {
        const decoded = decodeFrame(encode(message));
        expect(encode(decoded)).to.deep.equal(encode(message));
      }),
      { seed: 1, numRuns: 500 },
    );
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), bytes => {
        try {
          decodeFrame(bytes);
        } catch (error) {
          expect(error).to.be.instanceOf(Error);
        }
      }),
      { seed: 1, numRuns: 5000 },
    );
  });
});
