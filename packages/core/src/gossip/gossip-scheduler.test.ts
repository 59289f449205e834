import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import { routerId } from '../types/ids';
import type { RouterId } from '../types/ids';
import type { Bytes } from '../types/units';
import { bytes, instant } from '../types/units';
import { GossipScheduler } from './gossip-scheduler';
import { GossipTopic } from './gossip-topic';
import { jsonSize } from './json-size';

const SEED = 20_261_203;
const SETTINGS = {
  bytesPerSecond: bytes(2000),
  messageOverhead: bytes(180),
  maxMessageSize: bytes(1000),
  peersPerRound: 16,
};

/** Topic that fills its whole budget and counts visits per peer. */
class GreedyTopic extends GossipTopic {
  readonly visits = new Map<RouterId, number>();

  constructor(
    readonly name: string,
    readonly rank: number,
    readonly maxSize: number,
  ) {
    super();
  }

  take(peer: RouterId, budget: Bytes): readonly unknown[] {
    const length = Math.min(budget, this.maxSize) - 4;
    if (length < 1) {
      return [];
    }
    this.visits.set(peer, (this.visits.get(peer) ?? 0) + 1);
    return ['x'.repeat(length)];
  }

  receive(): number {
    return 0;
  }

  forget(): void {
    this.visits.clear();
  }
}

function createScheduler(
  topics: GossipTopic[],
  peers: number,
): GossipScheduler {
  const random = new Random(SEED);
  const scheduler = new GossipScheduler({ topics, random, settings: SETTINGS });
  for (let index = 0; index < peers; index += 1) {
    scheduler.addPeer(routerId(`r${index}`));
  }
  return scheduler;
}

describe('GossipScheduler', () => {
  it('never sends more than the budget and one burst, whatever the topics offer', () => {
    const gaps = fc.array(fc.integer({ min: -500, max: 3000 }), {
      minLength: 5,
      maxLength: 60,
    });
    fc.assert(
      fc.property(gaps, fc.integer({ min: 1, max: 400 }), (waits, peers) => {
        const topics = [
          new GreedyTopic('a', 0, 5000),
          new GreedyTopic('b', 1, 60),
        ];
        const scheduler = createScheduler(topics, peers);
        let [now, maxNow, sent] = [0, 0, 0];
        scheduler.round(instant(0)).forEach(message => (sent += message.size));
        for (const wait of waits) {
          now += wait;
          maxNow = Math.max(maxNow, now);
          for (const message of scheduler.round(instant(now))) {
            const body = jsonSize(message.topics);
            expect(body).to.be.at.most(1000 + 8);
            sent += body + SETTINGS.messageOverhead;
          }
        }
        expect(sent).to.be.at.most(maxNow * 2 + 2000 + 8);
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('visits all peers equally often and serves the lowest rank first', () => {
    const first = new GreedyTopic('first', 0, 400);
    const last = new GreedyTopic('last', 5, 5000);
    const scheduler = createScheduler([last, first], 37);
    for (let now = 0; now < 600_000; now += 250) {
      for (const message of scheduler.round(instant(now))) {
        expect(Object.keys(message.topics)[0]).to.equal('first');
      }
    }
    const visits = [...first.visits.values()];
    expect(visits.length).to.equal(37);
    expect(Math.max(...visits) - Math.min(...visits)).to.be.at.most(2);
  });

  it('counts unknown topics and sends no message without entries', () => {
    const scheduler = createScheduler([new GreedyTopic('none', 0, 0)], 5);
    scheduler.receive(routerId('r1'), { other: [1] }, instant(0));
    expect(scheduler.counters.unknownTopic).to.equal(1);
    expect(scheduler.round(instant(1000))).to.deep.equal([]);
  });
});
