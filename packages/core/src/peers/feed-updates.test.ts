import { expect } from 'chai';
import fc from 'fast-check';

import { EndpointDirectory } from '../endpoints/endpoint-directory';
import { EvacuatedZones } from '../endpoints/evacuated-zones';
import { EndpointReplica } from '../endpoints/endpoint-replica';
import type { EndpointRow } from '../endpoints/endpoint-replica';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import { Random } from '../random/random';
import { RouteTable } from '../routes/route-table';
import { FeedCoverage } from '../store/feed-coverage';
import { revision, storeEra } from '../store/feed-position';
import type { FeedPosition } from '../store/feed-position';
import { StoreClock } from '../store/store-clock';
import {
  endpointId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import type { Instant } from '../types/units';
import { FeedUpdates } from './feed-updates';

const row = (name: string, version: number, slots?: number): EndpointRow => ({
  id: endpointId(name),
  revision: revision(version),
  entry:
    slots === undefined
      ? undefined
      : {
          id: endpointId(name),
          service: serviceId('s'),
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

/** The store's table of endpoints with its history. */
class Store {
  readonly history: EndpointRow[] = [];

  write(name: string, slots: number | undefined): void {
    this.history.push(row(name, this.history.length + 1, slots));
  }

  /** The rows that exist, by id, with the slots that tell their version apart. */
  content(): string[] {
    const rows = new Map(this.history.map(each => [each.id, each.entry]));
    return [...rows]
      .filter(([, entry]) => entry)
      .map(([id, entry]) => `${id}:${entry?.slots}`)
      .sort();
  }

  position() {
    return at(this.history.length);
  }
}

class Router {
  readonly directory = new EndpointDirectory();
  readonly replica: EndpointReplica;
  readonly routes = new RouteTable();
  readonly coverage: Record<'endpoints' | 'configuration', FeedCoverage>;
  readonly clock = new StoreClock();
  readonly zones = new EvacuatedZones();
  readonly updates: FeedUpdates;

  constructor(name: string, isRelay = false) {
    const random = new Random(1);
    this.coverage = {
      endpoints: new FeedCoverage({ bound: seconds(2), random }),
      configuration: new FeedCoverage({ bound: seconds(2), random }),
    };
    this.replica = new EndpointReplica(this.directory, this.coverage.endpoints);
    this.updates = new FeedUpdates({
      self: routerId(name),
      endpointReplica: this.replica,
      evacuatedZones: this.zones,
      routes: this.routes,
      coverage: this.coverage,
      storeClock: this.clock,
    });
    this.updates.isRelay = isRelay;
  }

  readList(store: Store, now: Instant): void {
    const rows = new Map(store.history.map(each => [each.id, each]));
    const listed = [...rows.values()].filter(({ entry }) => entry);
    this.replica.applyList(listed, store.position(), now).forEach(changed => {
      this.updates.onRowRead(changed);
    });
    this.updates.onTableRead('endpoints', store.position(), now);
  }

  readChanges(store: Store, now: Instant): void {
    const after = this.coverage.endpoints.position?.revision ?? 0;
    for (const change of store.history.slice(after)) {
      if (this.replica.applyChange(change, now)) {
        this.updates.onRowRead(change);
      }
    }
    this.updates.onTableRead('endpoints', store.position(), now);
  }

  /** Reads all rows of evacuated zones from the store. */
  readZones(zones: readonly string[], position: FeedPosition, now: Instant) {
    const source = { origin: 'store', now } as const;
    if (this.zones.applyList(zones.map(zoneId), position, source)) {
      this.updates.onZonesLearned();
    }
  }

  content(): string[] {
    return this.directory
      .all()
      .map(({ id, slots }) => `${id}:${slots}`)
      .sort();
  }
}

describe('FeedUpdates', () => {
  it('lets a router that reads nothing itself follow the store through a relay', () => {
    const store = new Store();
    store.write('a', 1);
    const [relay, member] = [new Router('relay', true), new Router('member')];
    relay.readList(store, instant(0));
    member.readList(store, instant(0));
    relay.updates.takeChanges(instant(0));
    store.write('a', 2);
    store.write('b', 3);
    relay.readChanges(store, instant(800));
    expect(relay.updates.isUrgent).to.equal(true);
    member.updates.receive(
      relay.updates.takeChanges(instant(820)),
      instant(830),
    );
    expect(member.content()).to.deep.equal(store.content());
    expect(member.coverage.endpoints.latest?.confirmedAt).to.equal(810);
    expect(member.coverage.endpoints.position).to.deep.equal(store.position());
    expect(member.updates.takeChanges(instant(840))).to.deep.equal({});
  });

  it('brings what one router read to the whole fleet while the relays cannot reach the store', () => {
    const store = new Store();
    const relay = new Router('relay', true);
    const [reader, member] = [new Router('reader'), new Router('member')];
    for (const router of [relay, reader, member]) {
      router.readList(store, instant(0));
      router.updates.takeChanges(instant(0));
    }
    store.write('a', 1);
    reader.readChanges(store, instant(1000));
    relay.updates.receive(
      reader.updates.takeChanges(instant(1010)),
      instant(1020),
    );
    expect(relay.updates.isUrgent).to.equal(true);
    member.updates.receive(
      relay.updates.takeChanges(instant(1040)),
      instant(1050),
    );
    expect(member.content()).to.deep.equal(['a:1']);
    expect(member.coverage.endpoints.latest?.origin).to.equal('reader');
    expect(member.coverage.endpoints.latest?.confirmedAt).to.equal(1020);
  });

  it('does not believe a confirmation before it has every earlier change', () => {
    const store = new Store();
    const [late, reader] = [new Router('late', true), new Router('reader')];
    late.readList(store, instant(0));
    // The reader joins after this change, so that it never passes the change on.
    store.write('a', 1);
    reader.readList(store, instant(500));
    reader.updates.takeChanges(instant(500));
    reader.readChanges(store, instant(1000));
    late.updates.receive(
      reader.updates.takeChanges(instant(1010)),
      instant(1010),
    );
    expect(late.coverage.endpoints.latest?.confirmedAt).to.equal(0);
  });

  it('does not believe a confirmation of the configuration before it has the version', () => {
    const [relay, member] = [new Router('relay', true), new Router('member')];
    const configuration = (version: number) =>
      ({ version, routes: [], services: new Map(), teams: [] }) as never;
    for (const router of [relay, member]) {
      router.routes.apply(configuration(4));
      router.readZones([], at(10), instant(0));
      router.updates.onTableRead('configuration', at(10), instant(0));
    }
    relay.routes.apply(configuration(5));
    relay.readZones([], at(11), instant(700));
    relay.updates.onTableRead('configuration', at(11), instant(700));
    const message = relay.updates.takeChanges(instant(700));
    member.updates.receive(message, instant(700));
    expect(member.coverage.configuration.latest?.confirmedAt).to.equal(0);
    member.routes.apply(configuration(5));
    member.updates.receive(message, instant(710));
    expect(member.coverage.configuration.latest?.confirmedAt).to.equal(710);
  });

  describe('with evacuated zones', () => {
    const zonesOf = ({ zones }: Router) => zones.list?.zones;

    /** A relay and a member that have read the store at the same position. */
    function open() {
      const routers = [
        new Router('relay', true),
        new Router('member'),
      ] as const;
      for (const router of routers) {
        router.readZones([], at(10), instant(0));
        router.updates.onTableRead('configuration', at(10), instant(0));
        router.updates.takeChanges(instant(0));
      }
      return routers;
    }

    // Guards against an evacuation that reaches other routers only by their own reads.
    it('passes a change on without delay, through relays and no one else', () => {
      const [relay, member] = open();
      const reader = new Router('reader');
      reader.readZones(['z'], at(11), instant(100));
      expect(reader.updates.isUrgent).to.equal(true);
      relay.updates.receive(
        reader.updates.takeChanges(instant(100)),
        instant(100),
      );
      expect(relay.updates.isUrgent).to.equal(true);
      const message = relay.updates.takeChanges(instant(110));
      expect(relay.updates.isUrgent).to.equal(false);
      expect(member.updates.receive(message, instant(120))).to.equal(0);
      expect(zonesOf(member)).to.deep.equal(['z']);
      expect(member.updates.takeChanges(instant(130))).to.deep.equal({});
      // An older set of another relay, which is late.
      const late = new Router('late', true);
      late.readZones([], at(10), instant(0));
      member.updates.receive(
        late.updates.fullState(instant(140)),
        instant(140),
      );
      expect(zonesOf(member)).to.deep.equal(['z']);
    });

    // Guards against a confirmation by which a router would never read the change itself.
    it('believes no confirmation of the table before it knows the zones as of its position', () => {
      const [relay, member] = open();
      relay.readZones(['z'], at(11), instant(700));
      relay.updates.onTableRead('configuration', at(12), instant(700));
      relay.zones.recordRead(at(12));
      const { q: zones, ...withoutZones } = relay.updates.takeChanges(
        instant(700),
      );
      member.updates.receive(withoutZones, instant(700));
      expect(member.coverage.configuration.latest?.confirmedAt).to.equal(0);
      expect(member.coverage.configuration.position).to.deep.equal(at(10));
      member.updates.receive({ ...withoutZones, q: zones! }, instant(710));
      expect(member.coverage.configuration.latest?.confirmedAt).to.equal(710);
      expect(zonesOf(member)).to.deep.equal(['z']);
    });

    // Guards against a set that changed and changed back while one relay lists the table anew.
    it('states the zones with every confirmation, also if they are the same as before', () => {
      const [relay, member] = open();
      const slow = new Router('slow', true);
      slow.readZones(['z'], at(11), instant(100));
      // The relay's own list shows neither the begin nor the end of the evacuation.
      relay.readZones([], at(12), instant(200));
      relay.updates.onTableRead('configuration', at(12), instant(200));
      member.updates.receive(
        slow.updates.takeChanges(instant(300)),
        instant(300),
      );
      expect(zonesOf(member)).to.deep.equal(['z']);
      member.updates.receive(
        relay.updates.takeChanges(instant(300)),
        instant(300),
      );
      expect(zonesOf(member)).to.deep.equal([]);
      expect(member.coverage.configuration.position).to.deep.equal(at(12));
    });

    it('sends them to every new subscriber once they are known', () => {
      const starting = new Router('starting');
      const other = new Router('other');
      expect(other.updates.fullState(instant(0))).to.deep.equal({});
      other.readZones(['z', 'y'], at(3), instant(0));
      starting.updates.receive(other.updates.fullState(instant(0)), instant(0));
      expect(zonesOf(starting)).to.deep.equal(['z', 'y']);
    });

    // Guards against routers that never become ready as the store is away when all start.
    it('forwards the first set that a relay learns, although it is empty', () => {
      const [source, relay] = [new Router('source'), new Router('relay', true)];
      source.readZones([], at(3), instant(0));
      relay.updates.receive(source.updates.fullState(instant(0)), instant(0));
      expect(relay.updates.isUrgent).to.equal(true);
      const member = new Router('member');
      member.updates.receive(relay.updates.takeChanges(instant(9)), instant(9));
      expect(zonesOf(member)).to.deep.equal([]);
    });

    it('counts sets that it cannot use as malformed', () => {
      const [, member] = open();
      const malformed = [
        [1, 20],
        [1, -1, ['z']],
        [1, 20, ['']],
        [1, 20, Array.from({ length: 1001 }, (_value, index) => `z${index}`)],
        'z',
      ];
      expect(member.updates.receive({ q: malformed }, instant(0))).to.equal(5);
      expect(zonesOf(member)).to.deep.equal([]);
    });
  });

  // Guards against news that waited while a connection was cut and passes for that of the moment it arrives.
  it('dates a confirmation by the clock of the store, however late it arrives', () => {
    const store = new Store();
    store.write('a', 1);
    const [relay, member] = [new Router('relay', true), new Router('member')];
    for (const router of [relay, member]) {
      router.clock.madeAt({
        storeTime: 5000,
        sentAt: instant(0),
        receivedAt: instant(4),
      });
      router.readList(store, instant(0));
      router.updates.takeChanges(instant(0));
    }
    relay.readChanges(store, instant(1000));
    const late = relay.updates.takeChanges(instant(1000));
    member.updates.receive(late, instant(5000));
    expect(member.coverage.endpoints.age(instant(5000))).to.equal(4000);
    const relayed = relay.updates.fullState(instant(1500));
    member.updates.receive(relayed, instant(5000));
    expect(member.coverage.endpoints.age(instant(5000))).to.equal(4000);
  });

  it('believes no confirmation from the future, as its own clock stood still', () => {
    const store = new Store();
    const [relay, member] = [new Router('relay', true), new Router('member')];
    for (const router of [relay, member]) {
      router.clock.madeAt({
        storeTime: 5000,
        sentAt: instant(0),
        receivedAt: instant(4),
      });
      router.readList(store, instant(0));
      router.updates.takeChanges(instant(0));
    }
    for (const sentAt of [instant(9000), instant(9800)]) {
      relay.readChanges(store, sentAt);
      const late = relay.updates.takeChanges(sentAt);
      member.updates.receive(late, instant(1000));
    }
    expect(member.coverage.endpoints.age(instant(1000))).to.equal(1000);
  });

  it('ignores rows and confirmations of another era, and names the newest one', () => {
    const store = new Store();
    const [before, after] = [
      new Router('before', true),
      new Router('after', true),
    ];
    store.write('a', 1);
    before.readList(store, instant(0));
    after.readList(store, instant(0));
    after.replica.applyList([row('a', 1, 9)], at(1, 1), instant(100));
    after.updates.onTableRead('endpoints', at(1, 1), instant(100));
    after.updates.onRowRead(row('a', 1, 9));
    before.updates.receive(
      after.updates.takeChanges(instant(100)),
      instant(100),
    );
    expect(before.content()).to.deep.equal(['a:1']);
    expect(before.coverage.endpoints.position?.era).to.equal(0);
    expect(before.updates.newestEra).to.equal(1);
    store.write('b', 2);
    before.readChanges(store, instant(200));
    after.updates.receive(
      before.updates.takeChanges(instant(200)),
      instant(200),
    );
    expect(after.content()).to.deep.equal(['a:9']);
  });

  it('never confirms more than a router has, under any order of writes, reads, messages and losses', () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('write' as const),
        router: fc.nat(2),
        slots: fc.option(fc.nat(9), { nil: undefined }),
      }),
      fc.record({
        kind: fc.constantFrom(
          'list' as const,
          'changes' as const,
          'flush' as const,
          'flush-late' as const,
          'reconnect' as const,
        ),
        router: fc.nat(4),
        slots: fc.constant(undefined),
      }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 50 }), steps => {
        const store = new Store();
        const relays = [new Router('r0', true), new Router('r1', true)];
        const members = ['m0', 'm1', 'm2'].map(name => new Router(name));
        const routers = [...relays, ...members];
        /** Messages on their way, by sender, in order. */
        const pending = new Map<Router, TopicEntries[]>();
        const deliver = (sender: Router) => {
          const messages = pending.get(sender)?.splice(0) ?? [];
          const receivers = relays.includes(sender)
            ? routers.filter(other => other !== sender)
            : relays;
          for (const message of messages) {
            receivers.forEach(receiver => {
              receiver.updates.receive(message, instant(time));
            });
          }
        };
        let time = 0;
        routers.forEach(router => {
          router.readList(store, instant(time));
        });
        for (const { kind, router: index, slots } of steps) {
          time += 10;
          const router = routers[index]!;
          if (kind === 'write') {
            store.write(`e${index}`, slots);
          } else if (kind === 'list') {
            router.readList(store, instant(time));
          } else if (kind === 'changes') {
            router.readChanges(store, instant(time));
          } else if (kind === 'reconnect') {
            // Messages on the way are lost; a relay sends its full state anew.
            pending.delete(router);
            router.updates.takeChanges(instant(time));
            const full = router.updates.fullState(instant(time));
            routers
              .filter(other => other !== router)
              .forEach(other => {
                other.updates.receive(full, instant(time));
              });
          } else {
            const messages = pending.get(router) ?? [];
            messages.push(router.updates.takeChanges(instant(time)));
            pending.set(router, messages);
            if (kind === 'flush') {
              deliver(router);
            }
          }
          for (const { coverage, directory } of routers) {
            const position = coverage.endpoints.position?.revision ?? 0;
            for (const change of store.history.slice(0, position)) {
              const isSuperseded = store.history.some(
                ({ id, revision: other }) =>
                  id === change.id && other > change.revision,
              );
              if (!isSuperseded && change.entry) {
                expect(directory.get(change.id)?.slots).to.equal(
                  change.entry.slots,
                );
              }
            }
          }
        }
        for (const router of routers) {
          router.directory.tick(instant(time + 10_000));
          if (
            router.coverage.endpoints.position?.revision ===
            store.history.length
          ) {
            expect(router.content()).to.deep.equal(store.content());
          }
        }
      }),
      { seed: 42, numRuns: 150 },
    );
  });

  describe('between builds', () => {
    const ROW_FIELDS = 8;
    const versioned = (name: string, at: number): EndpointRow => {
      const { id, revision: changedAt, entry } = row(name, at, 1);
      return {
        id,
        revision: changedAt,
        entry: entry && { ...entry, softwareVersion: softwareVersion('v1.1') },
      };
    };

    function open() {
      const [relay, member] = [new Router('relay', true), new Router('member')];
      relay.replica.applyList([versioned('a', 1)], at(1), instant(0));
      member.replica.applyList([], at(0), instant(0));
      return { relay, member };
    }

    it('passes on the software version beside the row, whose form stays as it was', () => {
      const { relay, member } = open();
      const state = relay.updates.fullState(instant(0));
      const [[, , , entry]] = state.e as [
        [unknown, unknown, unknown, unknown[]],
      ];
      expect(entry).to.have.length(ROW_FIELDS);
      expect(member.updates.receive(state, instant(0))).to.equal(0);
      expect(member.directory.all()[0]?.softwareVersion).to.equal('v1.1');
      expect(member.replica.isPartial).to.equal(false);
    });

    // Guards against an endpoint whose version stays unknown as an older relay omits it.
    it('uses a row that an older build passed on, and completes it by its own list', () => {
      const { relay, member } = open();
      const older = { ...relay.updates.fullState(instant(0)), v: [] };
      member.updates.receive(older, instant(0));
      expect(member.directory.size).to.equal(1);
      expect(member.replica.isPartial).to.equal(true);
      const changed = member.replica.applyList(
        [versioned('a', 1)],
        at(1),
        instant(1),
      );
      expect(changed).to.have.length(1);
      expect(member.directory.all()[0]?.softwareVersion).to.equal('v1.1');
      expect(member.replica.isPartial).to.equal(false);
    });
  });
});
