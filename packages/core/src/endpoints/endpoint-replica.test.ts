import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import { FeedCoverage } from '../store/feed-coverage';
import { revision, storeEra } from '../store/feed-position';
import { endpointId, routerId, serviceId, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { EndpointDirectory } from './endpoint-directory';
import { EndpointReplica } from './endpoint-replica';
import type { EndpointRow } from './endpoint-replica';

const service = serviceId('s');
const now = instant(0);

const row = (name: string, version: number, slots?: number): EndpointRow => ({
  id: endpointId(name),
  revision: revision(version),
  entry:
    slots === undefined
      ? undefined
      : {
          id: endpointId(name),
          service,
          address: { host: '10.0.0.1', port: 1 },
          zone: zoneId('z'),
          slots,
          leaving: false,
          warmUp: milliseconds(0),
          startedAt: undefined,
          softwareVersion: undefined,
        },
});

const at = (version: number, era = 0) => ({
  era: storeEra(era),
  revision: revision(version),
});

function open() {
  const directory = new EndpointDirectory();
  const coverage = new FeedCoverage({
    bound: seconds(2),
    random: new Random(1),
  });
  const replica = new EndpointReplica(directory, coverage);
  const slots = () =>
    directory
      .all()
      .map(({ id, slots: count }) => `${id}:${count}`)
      .sort();
  return { directory, coverage, replica, slots };
}

describe('EndpointReplica', () => {
  // Guards against a removal that a peer passes on with its list and whose revision it has forgotten.
  it('removes an endpoint that a peer lists as removed, whatever its revision', () => {
    const { directory, replica } = open();
    replica.applyList([row('a', 3, 8), row('b', 4, 8)], at(5), now);
    replica.applyPeerList([row('a', 0), row('b', 4, 8)], at(9), now);
    expect(directory.hasLapsed(endpointId('a'))).to.equal(true);
    expect(directory.hasLapsed(endpointId('b'))).to.equal(false);
  });

  // Guards against restarts of which the row shows only the last one.
  it('reports a restart as missed changes only if the table was not watched meanwhile', () => {
    const { replica, coverage } = open();
    const missed: unknown[] = [];
    replica.onMissedChanges(before => {
      missed.push(before);
    });
    const started = (version: number, startedAt: number): EndpointRow => {
      const { entry, ...rest } = row('a', version, 8);
      return { ...rest, entry: entry && { ...entry, startedAt } };
    };
    const confirm = (version: number, time: number) => {
      coverage.record({
        origin: routerId('r'),
        position: at(version),
        confirmedAt: instant(time),
      });
    };
    replica.applyList([started(1, 100)], at(1), now);
    confirm(1, 0);
    replica.applyChange(started(2, 200), instant(1900));
    expect(missed).to.deep.equal([]);
    confirm(2, 1900);
    replica.applyChange(started(3, 300), instant(4000));
    expect(missed).to.deep.equal([at(3)]);
  });

  // Guards against endpoints that came and left unseen, of which a list shows nothing.
  it('reports changes that it missed, and none that it saw', () => {
    const { replica, coverage } = open();
    const missed: unknown[] = [];
    replica.onMissedChanges(before => {
      missed.push(before);
    });
    replica.applyList([row('a', 1, 8)], at(5), now);
    replica.applyChange(row('b', 6, 8), now);
    replica.applyChange(row('b', 7), now);
    replica.applyChange(row('unseen', 8), now);
    replica.applyChange(row('late', 4), now);
    expect(missed).to.deep.equal([at(8)]);
    replica.applyChange(row('unseen', 9), now);
    const foreign = { ...row('foreign', 10), isUnreadable: true };
    expect(replica.applyChange(foreign, now)).to.equal(false);
    expect(replica.applyChange(row('foreign', 11), now)).to.equal(false);
    const origin = routerId('r');
    coverage.record({ origin, position: at(15), confirmedAt: now });
    replica.applyPeerList([row('a', 1, 8)], at(15), now);
    replica.applyPeerList([row('a', 1, 8)], at(20), now);
    replica.applyList([row('a', 1, 8)], at(3, 1), now);
    expect(missed).to.deep.equal([at(8), at(20), at(3, 1)]);
  });

  it('applies the newest change of each row, in whatever order and however often changes arrive', () => {
    const change = fc.record({
      name: fc.constantFrom('a', 'b', 'c'),
      version: fc.integer({ min: 1, max: 30 }),
      isRemoved: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(change), fc.array(fc.nat()), (changes, order) => {
        const byVersion = new Map(changes.map(each => [each.version, each]));
        const rows = [...byVersion.values()].map(each =>
          row(
            each.name,
            each.version,
            each.isRemoved ? undefined : each.version,
          ),
        );
        const { directory, replica } = open();
        replica.applyList([], at(0), now);
        const deliveries = [
          ...order.map(index => rows[index % Math.max(1, rows.length)]),
          ...rows,
        ];
        for (const delivered of deliveries) {
          if (delivered) {
            replica.applyChange(delivered, now);
          }
        }
        directory.tick(instant(10_000));
        for (const name of ['a', 'b', 'c']) {
          const last = rows
            .filter(({ id }) => id === name)
            .sort((left, right) => right.revision - left.revision)[0];
          expect(directory.get(endpointId(name))?.slots).to.equal(
            last?.entry?.slots,
          );
        }
      }),
      { seed: 21, numRuns: 100 },
    );
  });

  it('tells what changed in a list that is read again, but nothing of the first list', () => {
    const { replica, slots, directory } = open();
    const first = [row('a', 1, 1), row('b', 2, 2)];
    expect(replica.applyList(first, at(2), now)).to.deep.equal([]);
    replica.applyChange(row('c', 9, 9), now);
    const changed = replica.applyList([row('a', 5, 5)], at(6), now);
    directory.tick(instant(10_000));
    expect(slots()).to.deep.equal(['a:5', 'c:9']);
    expect(changed.map(({ id }) => id)).to.deep.equal(['a', 'b']);
    expect(replica.baseRevision).to.equal(2);
  });

  it('takes the rows of a restored store although their revisions are lower', () => {
    const { replica, slots } = open();
    replica.applyList([row('a', 50, 1)], at(50), now);
    replica.applyList([row('a', 20, 2), row('b', 21, 3)], at(21, 1), now);
    expect(slots()).to.deep.equal(['a:2', 'b:3']);
    expect(replica.era).to.equal(1);
    expect(replica.applyChange(row('a', 22, 4), now)).to.equal(true);
    expect(slots()).to.deep.equal(['a:4', 'b:3']);
  });
});
