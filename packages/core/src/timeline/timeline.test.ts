import { expect } from 'chai';
import fc from 'fast-check';

import { EventBuffer } from './event-buffer';
import { eventPageSchema } from './event-page';
import { compareTimestamps, HybridClock } from './hybrid-clock';
import type { HybridTimestamp } from './hybrid-clock';
import { MergedTimeline } from './merged-timeline';
import { timelinePage } from './timeline-page';
import { eventLine } from './timeline-text';

const SEED = 20_261_203;

function bufferOf(process: string, wallTime: () => number, capacity = 100) {
  const clock = new HybridClock(wallTime);
  const buffer = new EventBuffer({ process, incarnation: 1, clock, capacity });
  return { clock, buffer };
}

function read(buffer: EventBuffer, after = 0) {
  return eventPageSchema.parse(JSON.parse(JSON.stringify(buffer.after(after))));
}

describe('HybridClock', () => {
  it('increases over any jumps of wall time and any received timestamps', () => {
    const step = fc.record({
      wall: fc.integer({ min: 0, max: 1_000_000 }),
      received: fc.option(fc.tuple(fc.nat(2_000_000), fc.nat(50))),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), steps => {
        let wall = 0;
        const clock = new HybridClock(() => wall);
        let last: HybridTimestamp = [0, 0];
        for (const current of steps) {
          wall = current.wall;
          const isAccepted =
            current.received && current.received[0] <= wall + 60_000;
          if (current.received) {
            clock.receive(current.received);
          }
          const next = clock.next();
          expect(compareTimestamps(next, last)).to.be.greaterThan(0);
          if (current.received && isAccepted) {
            expect(compareTimestamps(next, current.received)).to.be.greaterThan(
              0,
            );
          }
          expect(next[0]).to.be.at.most(1_060_000);
          last = next;
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe('MergedTimeline', () => {
  it('orders an event after its cause although the receiver’s clock is behind', () => {
    const first = bufferOf('r1', () => 5000);
    const second = bufferOf('r2', () => 1000);
    first.buffer.record('request-accepted', { request: 'q' });
    second.clock.receive(first.clock.next());
    second.buffer.record('request-sent', { request: 'q' });
    second.buffer.record('request-sent', { request: 'other' });
    const merged = new MergedTimeline({ request: 'q' });
    merged.add('b', read(second.buffer));
    merged.add('a', read(first.buffer));
    const kinds = merged.takeEvents().map(event => event.kind);
    expect(kinds).to.deep.equal(['request-accepted', 'request-sent']);
  });

  it('counts the events that the buffer dropped and pages through the others', () => {
    const { buffer } = bufferOf('r1', () => 1, 10);
    for (let index = 0; index < 25; index += 1) {
      buffer.record('request-accepted', { request: `q${index}` });
    }
    const merged = new MergedTimeline({});
    merged.add('a', eventPageSchema.parse(buffer.after(0, 4)));
    expect(merged.next('a')).to.equal(19);
    merged.add('a', read(buffer, merged.next('a')));
    const sequences = merged.takeEvents().map(event => event.sequence);
    expect(sequences).to.deep.equal([16, 17, 18, 19, 20, 21, 22, 23, 24, 25]);
    expect(merged.lost()).to.deep.equal([{ process: 'r1', count: 15 }]);
    expect(read(buffer, merged.next('a')).events).to.deep.equal([]);
  });

  it('requests a replaced process again from the start', () => {
    const merged = new MergedTimeline({});
    const { buffer } = bufferOf('r1', () => 1);
    buffer.record('process-started', {});
    merged.add('a', read(buffer));
    const page = { ...read(buffer, 1), incarnation: 2 };
    expect(merged.add('a', page)).to.equal(true);
    expect(merged.next('a')).to.equal(0);
  });

  it('escapes hostile text of events and processes, and shows the number of lost events', () => {
    const merged = new MergedTimeline({});
    const { buffer } = bufferOf('<img src=x>', () => 1, 2);
    const hostile = '"><script>alert(1)</script>\u001b[2J';
    for (let index = 0; index < 3; index += 1) {
      buffer.record('request-sent', { request: hostile });
    }
    merged.add('a', read(buffer));
    const events = merged.takeEvents();
    const page = timelinePage(events, merged.lost());
    expect(page.match(/<script>/g)?.length).to.equal(1);
    expect(page).to.not.contain('<img');
    expect(page).to.contain('1 events of &lt;img src=x&gt; were dropped');
    expect(eventLine(events[0]!, 4)).to.not.contain('\u001b');
  });
});
