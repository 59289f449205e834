import { expect } from 'chai';
import fc from 'fast-check';

import { attemptId, endpointId } from '../types/ids';
import { eventIdPrefix, parseEventId } from './event-id';
import { StreamSequencer } from './stream-sequencer';

describe('StreamSequencer', () => {
  it('delivers every event once and in order under any sequence of arrivals', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: -2, max: 8 })), arrivals => {
        const sequencer = new StreamSequencer();
        const delivered = arrivals.filter(
          event => sequencer.accept(event, false) === 'deliver',
        );
        expect(delivered).to.deep.equal(delivered.map((_, index) => index + 1));
        expect(sequencer.lastDelivered).to.equal(delivered.length);
      }),
      { seed: 7 },
    );
  });

  it('treats events after the end as duplicates', () => {
    const sequencer = new StreamSequencer(3);
    expect(sequencer.accept(4, true)).to.equal('deliver');
    expect(sequencer.accept(5, false)).to.equal('duplicate');
    expect(sequencer.hasEnded).to.equal(true);
  });
});

describe('event ids', () => {
  it('survive a round trip', () => {
    const prefix = eventIdPrefix(
      endpointId('engine-1'),
      attemptId('a-1'),
      'abcd',
    );
    expect(parseEventId(`${prefix}17`)).to.deep.equal({
      endpoint: 'engine-1',
      attempt: 'a-1',
      tag: 'abcd',
      event: 17,
    });
  });

  it('reject malformed text', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        const parsed = parseEventId(text);
        expect(parsed === undefined || text.split('~').length === 4).to.equal(
          true,
        );
      }),
      { seed: 7 },
    );
    for (const text of ['a~b~c', 'a~b~c~-1', 'a~b~c~1~2', '../x~b~c~1']) {
      expect(parseEventId(text), text).to.equal(undefined);
    }
  });
});
