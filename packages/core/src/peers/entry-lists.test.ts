import { expect } from 'chai';
import fc from 'fast-check';
import { z } from 'zod';

import { isCountEntry, isPartEntry } from './entry-lists';

const nameSchema = z.string().min(1).max(200);
const countSchema = z.tuple([nameSchema, z.int().min(0).max(1_000_000)]);
const partSchema = z.tuple([
  nameSchema,
  nameSchema,
  z.enum(['reading', 'held']),
]);

const item = fc.oneof(
  fc.string({ maxLength: 220 }),
  fc.constantFrom('reading', 'held', 'e', 'x'.repeat(200), 'x'.repeat(201)),
  fc.integer({ min: -2, max: 1_000_002 }),
  fc.double(),
  fc.constantFrom(1_000_000, 1_000_001, -0, null, undefined, true),
);
const entry = fc.oneof(fc.array(item, { maxLength: 4 }), item, fc.object());

describe('guards of entries', () => {
  // Guards against a guard that lets through what a schema of the same entry rejects, or the reverse.
  it('accept exactly what the schemas of the same entries accept', () => {
    fc.assert(
      fc.property(entry, value => {
        expect(isCountEntry(value)).to.equal(
          countSchema.safeParse(value).success,
        );
        expect(isPartEntry(value)).to.equal(
          partSchema.safeParse(value).success,
        );
      }),
      { seed: 7, numRuns: 5000 },
    );
  });

  it('accept sound entries', () => {
    expect(isCountEntry(['e', 0])).to.equal(true);
    expect(isCountEntry(['e', 1_000_000])).to.equal(true);
    expect(isPartEntry(['p', 'e', 'held'])).to.equal(true);
  });
});
