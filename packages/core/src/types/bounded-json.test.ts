import { expect } from 'chai';
import fc from 'fast-check';

import { parseBoundedJson, parseBoundedJsonText } from './bounded-json';

const DEEP = 1_000_000;
const STRUCTURE = ['[', ']', '{', '}', '"', ',', '\\', ':', '0', ' '];

function limitOf(text: string): string | undefined {
  const parsed = parseBoundedJsonText(text);
  return parsed.ok || parsed.failure.kind !== 'over-limit'
    ? undefined
    : parsed.failure.limit;
}

// Guards against a small document that takes the whole heap of a router.
describe('parseBoundedJson', () => {
  it('refuses nested containers before it parses them', () => {
    expect(limitOf('['.repeat(DEEP) + ']'.repeat(DEEP))).to.equal('depth');
    expect(limitOf('{"a":'.repeat(DEEP))).to.equal('depth');
    expect(limitOf(`{"a":"b\\"","c":${'['.repeat(33)}`)).to.equal('depth');
  });

  it('refuses more containers and values than a sound document has', () => {
    expect(limitOf(`[${'{},'.repeat(100_000)}0]`)).to.equal('containers');
    expect(limitOf(`[${'0,'.repeat(500_001)}0]`)).to.equal('values');
  });

  it('does not count what stands in strings', () => {
    const text = `${'['.repeat(200)}\\"${'{},'.repeat(500_001)}\\`;
    const parsed = parseBoundedJsonText(JSON.stringify({ text }));
    expect(parsed).to.deep.equal({ ok: true, value: { text } });
  });

  it('parses as JSON.parse does, and fails where it throws', () => {
    const documents = fc.oneof(
      fc.json({ maxDepth: 5 }),
      fc.string(),
      fc.string({ unit: fc.constantFrom(...STRUCTURE) }),
    );
    fc.assert(
      fc.property(documents, text => {
        const raw = new TextEncoder().encode(text);
        const decoded = new TextDecoder().decode(raw);
        const parsed = parseBoundedJson(raw);
        if (parsed.ok) {
          expect(parsed.value).to.deep.equal(JSON.parse(decoded));
        } else {
          expect(() => JSON.parse(decoded) as unknown).to.throw();
        }
      }),
      { seed: 1, numRuns: 2000 },
    );
  });

  it('fails for bytes that are not UTF-8', () => {
    const parsed = parseBoundedJson(Uint8Array.of(0x22, 0xff, 0x22));
    expect(parsed.ok || parsed.failure.kind).to.equal('not-json');
  });
});
