import { expect } from 'chai';
import fc from 'fast-check';

import { LoadEstimate } from '../engines/load-estimate';
import type { TopicEntries } from '../gossip/gossip-scheduler';
import { endpointId, routerId } from '../types/ids';
import type { EndpointId, RouterId } from '../types/ids';
import { instant } from '../types/units';
import { LoadUpdates } from './load-updates';

const now = instant(0);
const engines = ['e0', 'e1', 'e2'].map(endpointId);
const engine = endpointId('e0');

class Router {
  readonly id: RouterId;
  readonly loads = new LoadEstimate();
  readonly updates: LoadUpdates;

  constructor(name: string, isRelay: boolean) {
    this.id = routerId(name);
    this.updates = new LoadUpdates(this.loads);
    this.updates.isRelay = isRelay;
  }

  start(endpoint: EndpointId): void {
    this.loads.onRequestStarted(endpoint);
    this.updates.onOwnChanged(endpoint, this.loads.ownInFlight(endpoint));
  }

  end(endpoint: EndpointId): void {
    this.loads.onRequestEnded(endpoint);
    this.updates.onOwnChanged(endpoint, this.loads.ownInFlight(endpoint));
  }

  /** Sends the pending updates to the receivers at once. */
  flushTo(receivers: readonly Router[]): void {
    const changes = this.updates.takeChanges();
    for (const receiver of receivers) {
      const message = { ...changes, ...this.updates.takeIncluded(receiver.id) };
      receiver.updates.receive(this.id, message, now);
    }
  }

  connectTo(receiver: Router): void {
    receiver.updates.receive(
      this.id,
      this.updates.fullState(receiver.id, engines),
      now,
    );
  }
}

/** A fleet with two relays, each connected to every other router in both directions. */
function openFleet(size: number) {
  const relays = [new Router('relay-0', true), new Router('relay-1', true)];
  const members = Array.from(
    { length: size },
    (_, at) => new Router(`member-${at}`, false),
  );
  const routers = [...relays, ...members];
  const neighbours = (router: Router) =>
    relays.includes(router)
      ? routers.filter(other => other !== router)
      : relays;
  return { relays, members, routers, neighbours };
}

const truth = (routers: readonly Router[], endpoint: EndpointId) =>
  routers.reduce((sum, { loads }) => sum + loads.ownInFlight(endpoint), 0);

describe('LoadUpdates', () => {
  it("adds the fleet's total to a router's own requests without counting those twice", () => {
    const { routers, members, relays, neighbours } = openFleet(2);
    const [first, second] = members as [Router, Router];
    first.start(engine);
    first.start(engine);
    second.start(engine);
    members.forEach(router => {
      router.flushTo(neighbours(router));
    });
    relays.forEach(router => {
      router.flushTo(neighbours(router));
    });
    for (const { loads } of routers) {
      expect(loads.total(engine, now)).to.equal(3);
    }
    // A request that the relays do not know yet counts at once, and only once.
    first.start(engine);
    expect(first.loads.total(engine, now)).to.equal(4);
    expect(second.loads.total(engine, now)).to.equal(3);
  });

  it('converges to the truth at every router, however requests, messages and lost relays interleave', () => {
    const step = fc.oneof(
      fc.record({
        kind: fc.constantFrom('start' as const, 'end' as const),
        router: fc.nat(7),
        engine: fc.nat(2),
      }),
      fc.record({
        kind: fc.constantFrom('flush' as const, 'reconnect' as const),
        router: fc.nat(7),
        engine: fc.constant(0),
      }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), steps => {
        const { routers, relays, neighbours } = openFleet(6);
        for (const { kind, router: index, engine: at } of steps) {
          const router = routers[index]!;
          const endpoint = engines[at]!;
          if (kind === 'start') {
            router.start(endpoint);
          } else if (kind === 'end' && router.loads.ownInFlight(endpoint) > 0) {
            router.end(endpoint);
          } else if (kind === 'flush') {
            router.flushTo(neighbours(router));
          } else if (kind === 'reconnect') {
            // Both ends of the connections drop what they knew of each other.
            for (const other of neighbours(router)) {
              router.updates.onPeerGone(other.id);
              other.updates.onPeerGone(router.id);
              router.connectTo(other);
              other.connectTo(router);
            }
          }
        }
        for (const router of [...routers.slice(2), ...relays, ...relays]) {
          router.flushTo(neighbours(router));
        }
        for (const endpoint of engines) {
          for (const { loads } of routers) {
            expect(loads.total(endpoint, now)).to.equal(
              truth(routers, endpoint),
            );
          }
        }
      }),
      { seed: 195, numRuns: 400 },
    );
  });

  it('stays right while a relay does not know all routers', () => {
    const { members, relays } = openFleet(2);
    const [first, second] = members as [Router, Router];
    const [left, right] = relays as [Router, Router];
    first.start(engine);
    // The first member reaches only one of the relays, the second one both.
    first.flushTo([left]);
    second.flushTo(relays);
    left.flushTo(members);
    right.flushTo([second]);
    expect(second.loads.total(engine, now)).to.equal(1);
  });

  it('makes its subscribers drop the totals of a router that is no relay any more', () => {
    const { members, relays } = openFleet(1);
    const [member] = members as [Router];
    const [relay] = relays as [Router];
    relay.start(engine);
    relay.flushTo([member]);
    expect(member.loads.total(engine, now)).to.equal(1);
    relay.updates.isRelay = false;
    relay.end(engine);
    relay.flushTo([member]);
    expect(member.loads.total(engine, now)).to.equal(0);
  });

  it('grows with the endpoints whose load changed, not with the routers', () => {
    const sizeOf = (count: number) => {
      const { members, relays } = openFleet(count);
      const [relay] = relays as [Router];
      members.forEach(member => {
        engines.forEach(each => {
          member.start(each);
        });
        member.flushTo([relay]);
      });
      const message: TopicEntries = relay.updates.takeChanges();
      return Object.values(message).flat().length;
    };
    expect(sizeOf(370)).to.equal(sizeOf(18));
  });
});
