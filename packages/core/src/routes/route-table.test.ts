import { expect } from 'chai';

import { configurationVersion, routeId, serviceId, teamId } from '../types/ids';
import { bytes, instant, milliseconds } from '../types/units';
import type { FleetConfiguration, Route } from './fleet-configuration';
import { pickTarget, RouteTable } from './route-table';

const route = (prefix: string, fields: Partial<Route> = {}): Route => ({
  id: routeId(prefix),
  host: 'a.example',
  prefix,
  targets: [{ service: serviceId('s'), weight: 1 }],
  answer: { kind: 'whole' },
  repeatable: true,
  timeout: milliseconds(1000),
  latencyGoal: milliseconds(200),
  priority: 0,
  maxAttempts: 1,
  anonymous: false,
  ...fields,
});

const configuration = (
  version: number,
  routes: readonly Route[],
  keys: readonly string[] = ['k'],
): FleetConfiguration => ({
  version: configurationVersion(version),
  routes,
  services: new Map(),
  limits: {
    headerBytes: bytes(16_384),
    bodyBytes: bytes(1000),
    headerTimeout: milliseconds(3000),
    idleTimeout: milliseconds(15_000),
  },
  teams: [{ id: teamId('t'), keys, priority: undefined }],
});

const trusted = milliseconds(5000);
const now = instant(1000);
const query = (path: string, key = 'k') => ({ host: 'a.example', path, key });

describe('RouteTable', () => {
  it('knows nothing before the first configuration', () => {
    const table = new RouteTable();
    const decision = table.decide(query('/a/'), now, trusted);
    expect(decision.kind).to.equal('unknown-configuration');
  });

  it('takes the longest prefix that begins the path', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/'), route('/a/'), route('/a/b/')]));
    table.recordConfirmation(now);
    const found = (path: string) => {
      const decision = table.decide(query(path), now, trusted);
      return decision.kind === 'forward'
        ? decision.route.prefix
        : decision.kind;
    };
    expect(found('/a/b/c')).to.equal('/a/b/');
    expect(found('/a/b')).to.equal('/a/');
    expect(found('/a')).to.equal('/');
    expect(found('/x/y/z')).to.equal('/');
  });

  it('never goes back to an older version', () => {
    const table = new RouteTable();
    table.apply(configuration(5, [route('/new/')]));
    expect(table.apply(configuration(4, [route('/old/')]))).to.equal(false);
    expect(table.version).to.equal(5);
  });

  it('refuses unknown keys and routes for good only while its version is trusted', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/')]));
    table.recordConfirmation(now);
    const late = instant(now + 6000);
    expect(table.decide(query('/a/x', 'bad'), now, trusted).kind).to.equal(
      'unknown-key',
    );
    expect(table.decide(query('/z/x'), now, trusted).kind).to.equal('no-route');
    expect(table.decide(query('/a/x', 'bad'), late, trusted).kind).to.equal(
      'unknown-configuration',
    );
    expect(table.decide(query('/z/x'), late, trusted).kind).to.equal(
      'unknown-configuration',
    );
    expect(table.decide(query('/a/x'), late, trusted).kind).to.equal('forward');
  });

  it('takes a key away with the version that leaves it out', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/')], ['k', 'l']));
    table.apply(configuration(2, [route('/a/')], ['l']));
    table.recordConfirmation(now);
    expect(table.decide(query('/a/x', 'k'), now, trusted).kind).to.equal(
      'unknown-key',
    );
    expect(table.decide(query('/a/x', 'l'), now, trusted).kind).to.equal(
      'forward',
    );
  });

  it('asks for no key on anonymous routes', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/', { anonymous: true })]));
    table.recordConfirmation(now);
    expect(table.decide(query('/a/x', ''), now, trusted).kind).to.equal(
      'forward',
    );
  });

  it('splits by weight and never picks a target of weight 0', () => {
    const split = route('/a/', {
      targets: [
        { service: serviceId('none'), weight: 0 },
        { service: serviceId('most'), weight: 90 },
        { service: serviceId('some'), weight: 10 },
      ],
    });
    const picked = [0, 0.5, 0.899, 0.9, 0.999].map(
      fraction => pickTarget(split, fraction)?.service,
    );
    expect(picked).to.deep.equal(['most', 'most', 'most', 'some', 'some']);
  });
});
