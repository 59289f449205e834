import { expect } from 'chai';
import fc from 'fast-check';

import { EventSplitter } from './event-splitter';

const encode = (text: string) => new TextEncoder().encode(text);
const decode = (bytes: Uint8Array) => new TextDecoder().decode(bytes);

describe('EventSplitter', () => {
  it('retains the bytes of an incomplete event until its end arrives', () => {
    const splitter = new EventSplitter();
    const first = splitter.feed(encode('id: 1\ndata: a\n\nid: 2\nda'));
    expect(decode(first.bytes)).to.equal('id: 1\ndata: a\n\n');
    expect(first).to.include({ count: 1, firstId: 1, lastId: 1 });
    const second = splitter.feed(encode('ta: b\n\n'));
    expect(decode(second.bytes)).to.equal('id: 2\ndata: b\n\n');
    expect(second).to.include({ count: 1, firstId: 2, lastId: 2 });
  });

  it('ignores the id of an incomplete event', () => {
    const splitter = new EventSplitter();
    const { lastId } = splitter.feed(encode('id: 7\n\nid: 8\n'));
    expect(lastId).to.equal(7);
  });

  it('parses carriage returns, several fields and ids without a space', () => {
    const splitter = new EventSplitter();
    const text = 'sesamegrade: 3\r\nid:12\r\ndata: id: 99\r\n\r\n';
    expect(splitter.feed(encode(text))).to.include({ count: 1, lastId: 12 });
  });

  it('tells whether the stream would end within an event', () => {
    const endings: [string, boolean][] = [
      ['', false],
      ['id: 1\ndata: a\n\n', false],
      ['id: 1\r\ndata: a\r\n\r\n: comment', false],
      ['id: 1\ndata: a\n', true],
      ['id: 1\ndata: a\n\ni', true],
      [': comment\ndata', true],
    ];
    for (const [text, expected] of endings) {
      const splitter = new EventSplitter();
      splitter.feed(encode(text));
      expect(splitter.isWithinEvent, JSON.stringify(text)).to.equal(expected);
    }
  });

  it('changes no byte and finds the same events for any chunk sizes', () => {
    const events = fc.array(
      fc
        .string({ maxLength: 20 })
        .map(text => text.replaceAll(/[\r\n]/gu, ' ')),
      { maxLength: 8 },
    );
    fc.assert(
      fc.property(events, fc.array(fc.nat(40)), (texts, chunkSizes) => {
        const text = texts
          .map((data, offset) => `id: ${offset + 1}\ndata: ${data}\n\n`)
          .join('');
        const bytes = encode(`${text}id: 99\nda`);
        const splitter = new EventSplitter();
        let passedOn = '';
        let lastId: number | undefined;
        let offset = 0;
        for (const size of [...chunkSizes, bytes.length]) {
          const events = splitter.feed(bytes.subarray(offset, offset + size));
          passedOn += decode(events.bytes);
          lastId = events.lastId ?? lastId;
          offset += size;
        }
        expect(passedOn).to.equal(text);
        expect(lastId).to.equal(texts.length === 0 ? undefined : texts.length);
        expect(decode(splitter.tail)).to.equal('id: 99\nda');
      }),
      { seed: 1 },
    );
  });
});
