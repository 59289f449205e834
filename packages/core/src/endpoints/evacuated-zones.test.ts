import { expect } from 'chai';
import fc from 'fast-check';

import { comparePositions, revision, storeEra } from '../store/feed-position';
import type { FeedPosition } from '../store/feed-position';
import { zoneId } from '../types/ids';
import { instant } from '../types/units';
import { EvacuatedZones } from './evacuated-zones';
import type { EvacuatedZoneList, EvacuationChange } from './evacuated-zones';

const [a, b, c] = ['a', 'b', 'c'].map(zoneId) as [
  ReturnType<typeof zoneId>,
  ReturnType<typeof zoneId>,
  ReturnType<typeof zoneId>,
];
const now = instant(7);
const fromStore = { origin: 'store', now } as const;
const fromPeer = { origin: 'peer', now } as const;

const at = (version: number, era = 1): FeedPosition => ({
  era: storeEra(era),
  revision: revision(version),
});

describe('EvacuatedZones', () => {
  it('is not known before the first list, which may be empty', () => {
    const zones = new EvacuatedZones();
    let known = 0;
    zones.onKnown(() => {
      known += 1;
    });
    expect(zones.applyChange(a, true, at(3), fromStore)).to.equal(false);
    expect(zones.isKnown).to.equal(false);
    expect(zones.list).to.equal(undefined);
    expect(zones.applyList([], at(4), fromPeer)).to.equal(false);
    expect(zones.isKnown).to.equal(true);
    zones.applyList([a], at(5), fromStore);
    expect(known).to.equal(1);
  });

  it('tells each of its listeners what was added and removed, by whom and when', () => {
    const zones = new EvacuatedZones();
    const seen: [EvacuationChange, number][][] = [[], []];
    for (const changes of seen) {
      zones.onChanged((change, when) => {
        changes.push([change, when]);
      });
    }
    zones.applyList([a, b], at(4), fromPeer);
    zones.applyList([a, b], at(5), fromStore);
    zones.applyList([b, c], at(6), fromStore);
    expect(seen[0]).to.deep.equal([
      [{ added: [a, b], removed: [], origin: 'peer', position: at(4) }, now],
      [{ added: [c], removed: [a], origin: 'store', position: at(6) }, now],
    ]);
    expect(seen[1]).to.deep.equal(seen[0]);
  });

  // Guards against a late message of a relay that ends or revives an evacuation.
  it('drops lists and changes of an older position', () => {
    const zones = new EvacuatedZones();
    zones.applyList([a], at(4), fromStore);
    expect(zones.applyList([], at(3), fromPeer)).to.equal(false);
    expect(zones.applyChange(a, false, at(3), fromStore)).to.equal(false);
    expect(zones.includes(a)).to.equal(true);
    zones.recordRead(at(9));
    expect(zones.applyList([], at(8), fromPeer)).to.equal(false);
    expect(zones.list).to.deep.equal({ zones: [a], position: at(9) });
  });

  // Guards against a transaction of which only the first row takes effect.
  it('applies all changes of one transaction, which have the same position', () => {
    const zones = new EvacuatedZones();
    zones.applyList([c], at(4), fromStore);
    zones.applyChange(a, true, at(5), fromStore);
    zones.applyChange(b, true, at(5), fromStore);
    zones.applyChange(c, false, at(5), fromStore);
    expect(zones.list?.zones).to.deep.equal([a, b]);
  });

  it('lets a set of a later era replace any other, and no change of an era whose list is unread', () => {
    const zones = new EvacuatedZones();
    zones.applyList([a], at(90), fromStore);
    expect(zones.applyChange(b, true, at(3, 2), fromStore)).to.equal(false);
    zones.recordRead(at(4, 2));
    expect(zones.list?.position).to.deep.equal(at(90));
    expect(zones.applyList([b], at(2, 2), fromStore)).to.equal(true);
    expect(zones.list?.zones).to.deep.equal([b]);
    expect(zones.applyList([a], at(95), fromPeer)).to.equal(false);
    expect(zones.isKnownAsOf(at(200))).to.equal(true);
    expect(zones.isKnownAsOf(at(3, 2))).to.equal(false);
  });

  it('converges under any order of reads by two relays, of their messages, and of restores', () => {
    /** The history of a store of one era: each entry is a transaction. */
    type Transaction = readonly { zone: typeof a; isEvacuated: boolean }[];
    const zoneOf = fc.constantFrom(a, b, c);
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('write' as const),
        changes: fc.uniqueArray(
          fc.record({ zone: zoneOf, isEvacuated: fc.boolean() }),
          { minLength: 1, maxLength: 3, selector: ({ zone }) => zone },
        ),
      }),
      fc.record({
        kind: fc.constantFrom('list' as const, 'changes' as const),
        relay: fc.nat(1),
      }),
      fc.record({ kind: fc.constant('deliver' as const), message: fc.nat(99) }),
      fc.record({ kind: fc.constant('restore' as const), keep: fc.nat(9) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), steps => {
        let era = 1;
        const eras = new Map<number, Transaction[]>([[1, []]]);
        const history = () => eras.get(era) ?? [];
        const contentAt = (position: FeedPosition) => {
          const content = new Set<string>();
          for (const transaction of (eras.get(position.era) ?? []).slice(
            0,
            position.revision,
          )) {
            for (const { zone, isEvacuated } of transaction) {
              if (isEvacuated) {
                content.add(zone);
              } else {
                content.delete(zone);
              }
            }
          }
          return [...content].sort();
        };
        const newest = () => at(history().length, era);
        const relays = [new EvacuatedZones(), new EvacuatedZones()];
        const member = new EvacuatedZones();
        const sent: EvacuatedZoneList[] = [];
        const readList = (relay: EvacuatedZones) => {
          const zones = contentAt(newest()).map(zoneId);
          relay.applyList(zones, newest(), fromStore);
        };
        const readChanges = (relay: EvacuatedZones) => {
          const after = relay.list?.position;
          if (after?.era !== era) {
            readList(relay);
            return;
          }
          history().forEach((transaction, index) => {
            // A page may repeat changes that are known already.
            const isInPage = index + 1 > after.revision - 2;
            for (const { zone, isEvacuated } of isInPage ? transaction : []) {
              const position = at(index + 1, era);
              relay.applyChange(zone, isEvacuated, position, fromStore);
            }
          });
          relay.recordRead(newest());
        };
        const send = (relay: EvacuatedZones) => {
          if (relay.list) {
            sent.push(relay.list);
          }
        };
        const check = () => {
          for (const { list } of [...relays, member]) {
            if (list) {
              expect([...list.zones].sort()).to.deep.equal(
                contentAt(list.position),
              );
            }
          }
        };
        for (const each of steps) {
          if (each.kind === 'write') {
            history().push(each.changes);
          } else if (each.kind === 'restore') {
            const kept = history().slice(0, each.keep);
            era += 1;
            eras.set(era, kept);
          } else if (each.kind === 'deliver') {
            const message = sent[each.message % Math.max(1, sent.length)];
            if (message) {
              member.applyList(message.zones, message.position, fromPeer);
            }
          } else {
            const relay = relays[each.relay]!;
            (each.kind === 'list' ? readList : readChanges)(relay);
            send(relay);
          }
          check();
        }
        relays.forEach(readChanges);
        relays.forEach(send);
        for (const { zones, position } of sent.toReversed()) {
          member.applyList(zones, position, fromPeer);
        }
        check();
        for (const { list } of [...relays, member]) {
          expect(list && comparePositions(list.position, newest())).to.equal(0);
        }
      }),
      { seed: 42, numRuns: 500 },
    );
  });
});
