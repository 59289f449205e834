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

const maxAge = milliseconds(5000);
const now = instant(1000);
const query = (path: string, key = 'k') => ({ host: 'a.example', path, key });

describe('RouteTable', () => {
  it('reports an unknown configuration before the first one was read', () => {
    const table = new RouteTable();
    const decision = table.decide(query('/a/'), now, maxAge);
    expect(decision.kind).to.equal('unknown-configuration');
  });

  it('matches the longest prefix of the path', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/'), route('/a/'), route('/a/b/')]));
    table.recordConfirmation(now);
    const found = (path: string) => {
      const decision = table.decide(query(path), now, maxAge);
      return decision.kind === 'forward'
        ? decision.route.prefix
        : decision.kind;
    };
    expect(found('/a/b/c')).to.equal('/a/b/');
    expect(found('/a/b')).to.equal('/a/');
    expect(found('/a')).to.equal('/');
    expect(found('/x/y/z')).to.equal('/');
  });

  it('rejects an older version than the one in force', () => {
    const table = new RouteTable();
    table.apply(configuration(5, [route('/new/')]));
    expect(table.apply(configuration(4, [route('/old/')]))).to.equal(false);
    expect(table.version).to.equal(5);
  });

  it('refuses unknown keys and routes definitely only while its version was recently confirmed', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/')]));
    table.recordConfirmation(now);
    const late = instant(now + 6000);
    expect(table.decide(query('/a/x', 'bad'), now, maxAge).kind).to.equal(
      'unknown-key',
    );
    expect(table.decide(query('/z/x'), now, maxAge).kind).to.equal('no-route');
    expect(table.decide(query('/a/x', 'bad'), late, maxAge).kind).to.equal(
      'unknown-configuration',
    );
    expect(table.decide(query('/z/x'), late, maxAge).kind).to.equal(
      'unknown-configuration',
    );
    expect(table.decide(query('/a/x'), late, maxAge).kind).to.equal('forward');
  });

  it('revokes a key with the version that omits it', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/')], ['k', 'l']));
    table.apply(configuration(2, [route('/a/')], ['l']));
    table.recordConfirmation(now);
    expect(table.decide(query('/a/x', 'k'), now, maxAge).kind).to.equal(
      'unknown-key',
    );
    expect(table.decide(query('/a/x', 'l'), now, maxAge).kind).to.equal(
      'forward',
    );
  });

  it('requires no key on anonymous routes', () => {
    const table = new RouteTable();
    table.apply(configuration(1, [route('/a/', { anonymous: true })]));
    table.recordConfirmation(now);
    expect(table.decide(query('/a/x', ''), now, maxAge).kind).to.equal(
      'forward',
    );
  });

  it('picks targets by weight and never one of weight 0', () => {
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
