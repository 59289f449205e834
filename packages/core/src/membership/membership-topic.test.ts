import { expect } from 'chai';
import fc from 'fast-check';

import { NoopEventRecorder } from '../timeline/event';
import { endpointId, incarnation, routerId, zoneId } from '../types/ids';
import { bytes, instant } from '../types/units';
import { EndpointTable } from './endpoint-table';
import { MembershipTopic } from './membership-topic';
import { RouterTable } from './router-table';

function vm(kind: string, name: string, extra: object = {}): object {
  const location = { host: '127.0.0.1', port: 9000, zone: 'a' };
  const state = { state: 'live', incarnation: 1, capacity: 4 };
  return { vm: name, kind, ...location, ...state, ...extra };
}

const LIST = [
  vm('router', 'r1'),
  vm('router', 'r2'),
  vm('engine', 'e1', { models: ['m'] }),
  vm('service', 's1', { service: 'orders' }),
];

function routerOf(name: string, list?: readonly object[]) {
  const recorder = new NoopEventRecorder();
  const self = {
    id: routerId(name),
    incarnation: incarnation(1),
    zone: zoneId('a'),
    address: { host: '127.0.0.1', port: 9000 },
  };
  const routers = new RouterTable({ self, recorder });
  const endpoints = new EndpointTable({ recorder });
  if (list) {
    routers.onVmList(list, instant(0));
    endpoints.onVmList(list, instant(0));
  }
  const topic = new MembershipTopic({ routers, endpoints });
  return { id: self.id, self, routers, endpoints, topic };
}

type Router = ReturnType<typeof routerOf>;

function exchange(
  from: Router,
  to: Router,
  now: number,
  budget = 1000,
): number {
  const entries = from.topic.take(to.id, bytes(budget), instant(now));
  const received = JSON.parse(JSON.stringify(entries)) as unknown[];
  expect(to.topic.receive(from.id, received, instant(now))).to.equal(0);
  return entries.length;
}

describe('MembershipTopic', () => {
  it('sends each departure of an endpoint or a router to a peer once', () => {
    const [first, second] = [routerOf('r1', LIST), routerOf('r2', LIST)];
    second.routers.onConnected(first.self, instant(0));
    first.endpoints.onSignal(
      endpointId('e1'),
      'refused-as-leaving',
      instant(1),
    );
    first.routers.leave();
    expect(exchange(first, second, 2)).to.equal(2);
    expect(second.endpoints.get(endpointId('e1'))?.phase).to.equal('leaving');
    expect(second.routers.get(first.id)?.cause).to.equal('announced');
    expect(exchange(first, second, 3)).to.equal(0);
    expect(exchange(second, first, 4)).to.equal(0);
  });

  it('sends all members to a new router without a list, over several messages', () => {
    const [established, newcomer] = [routerOf('r1', LIST), routerOf('r9')];
    exchange(newcomer, established, 0);
    for (let now = 1; now < 20; now += 1) {
      exchange(established, newcomer, now, 180);
    }
    newcomer.endpoints.tick(instant(30));
    const found = [...newcomer.endpoints.endpoints()].map(row => row.id);
    expect(found).to.have.members(['e1', 's1']);
    expect(newcomer.routers.get(routerId('r2'))?.phase).to.equal('live');
  });

  it('accepts any entries of a peer without losing other endpoints', () => {
    const table = routerOf('r1', LIST);
    const leaving = fc.tuple(
      fc.constant('l'),
      fc.constantFrom('e', 'r'),
      fc.constantFrom('e1', 'r1', '__proto__'),
      fc.oneof(fc.integer(), fc.double()),
    );
    fc.assert(
      fc.property(fc.array(fc.oneof(leaving, fc.anything())), entries => {
        const refused = table.topic.receive(
          routerId('r2'),
          entries.filter(entry => !isValidDeparture(entry)),
          instant(5),
        );
        expect(refused).to.be.within(0, entries.length);
        expect([...table.endpoints.endpoints()].length).to.equal(2);
      }),
      { seed: 20_261_203, numRuns: 500 },
    );
  });
});

/** The only departure in these entries that names a listed endpoint. */
function isValidDeparture(entry: unknown): boolean {
  return JSON.stringify(entry) === '["l","e","e1",1]';
}
