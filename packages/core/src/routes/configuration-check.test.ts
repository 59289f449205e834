import { expect } from 'chai';

import { configurationVersion, routeId, serviceId, teamId } from '../types/ids';
import { bytes, milliseconds } from '../types/units';
import { checkConfiguration } from './configuration-check';
import { configurationDifferences } from './configuration-differences';
import type { FleetConfiguration, Route } from './fleet-configuration';

const service = serviceId('drafting');

function route(name: string, fields: Partial<Route> = {}): Route {
  return {
    id: routeId(name),
    host: 'calls.example',
    prefix: `/${name}/`,
    targets: [{ service, weight: 1 }],
    answer: { kind: 'whole' },
    repeatable: true,
    timeout: milliseconds(2000),
    latencyGoal: milliseconds(500),
    priority: 0,
    maxAttempts: 2,
    anonymous: false,
    ...fields,
  };
}

function configuration(
  fields: Partial<FleetConfiguration> = {},
): FleetConfiguration {
  return {
    version: configurationVersion(1),
    routes: [route('drafts')],
    services: new Map([
      [
        service,
        {
          id: service,
          maxConnections: 100,
          engine: undefined,
          coldTime: milliseconds(0),
          coldRequestsPerSecond: 0,
        },
      ],
    ]),
    limits: {
      headerBytes: bytes(16_384),
      bodyBytes: bytes(100_000),
      headerTimeout: milliseconds(3000),
      idleTimeout: milliseconds(15_000),
    },
    teams: [{ id: teamId('a'), keys: ['k1'], priority: undefined }],
    ...fields,
  };
}

function messages(fields: Partial<FleetConfiguration>): string[] {
  return checkConfiguration(configuration(fields)).map(
    ({ severity, subject, message }) => `${severity}: ${subject}: ${message}`,
  );
}

describe('checkConfiguration', () => {
  it('finds nothing in a sound configuration', () => {
    expect(messages({})).to.deep.equal([]);
  });

  it('finds routes that never match', () => {
    expect(
      messages({
        routes: [
          route('drafts'),
          route('again', { prefix: '/drafts/' }),
          route('open', { prefix: '/open' }),
        ],
      }),
    ).to.deep.equal([
      'error: route open: never matches: prefix "/open" does not begin and end with a slash',
      'error: route drafts: never matches: route again has the same host and prefix',
    ]);
  });

  it('finds targets that get no requests', () => {
    const gone = serviceId('gone');
    expect(
      messages({
        routes: [
          route('drafts', { targets: [{ service: gone, weight: 1 }] }),
          route('off', { targets: [{ service, weight: 0 }] }),
        ],
      }),
    ).to.deep.equal([
      'error: route drafts: service gone does not exist',
      'warning: route off: service drafting gets no requests: its weight is 0',
      'error: route off: all weights are 0',
      'warning: service drafting: no route sends it requests',
    ]);
  });

  it('finds limits that contradict each other', () => {
    const base = configuration().limits;
    expect(
      messages({
        routes: [
          route('drafts', { latencyGoal: milliseconds(3000) }),
          route('orders', { repeatable: false }),
          route('streams', {
            answer: { kind: 'stream', pauseLimit: milliseconds(5000) },
          }),
        ],
        limits: { ...base, bodyBytes: bytes(0), idleTimeout: milliseconds(1) },
      }),
    ).to.deep.equal([
      'warning: route drafts: its latency goal of 3000 ms is above its timeout of 2000 ms',
      'warning: route orders: it allows 2 attempts of requests that may run only once',
      'warning: route streams: it allows pauses of 5000 ms, above its timeout of 2000 ms',
      'error: limits: bodyBytes is 0',
      'warning: limits: headerTimeout of 3000 ms is above idleTimeout of 1 ms',
    ]);
  });

  it('finds keys that never match, without naming them', () => {
    expect(
      messages({
        teams: [
          { id: teamId('a'), keys: ['k1'], priority: undefined },
          { id: teamId('b'), keys: ['k1'], priority: undefined },
          { id: teamId('c'), keys: [], priority: undefined },
        ],
      }),
    ).to.deep.equal([
      'error: team a: its key number 1 never matches: team b has the same one',
      'warning: team c: never matches: it has no key',
    ]);
  });
});

describe('configurationDifferences', () => {
  it('finds none between equal configurations', () => {
    const found = configurationDifferences(configuration(), configuration());
    expect(found).to.deep.equal([]);
  });

  it('names what was added, removed and changed, but no keys', () => {
    const after = configuration({
      routes: [route('drafts', { timeout: milliseconds(900) }), route('new')],
      teams: [{ id: teamId('a'), keys: ['k2', 'k3'], priority: 1 }],
      services: new Map(),
    });
    expect(configurationDifferences(configuration(), after)).to.deep.equal([
      {
        kind: 'changed',
        subject: 'route drafts',
        changes: ['timeout: 2000 -> 900'],
      },
      { kind: 'removed', subject: 'service drafting', changes: [] },
      {
        kind: 'changed',
        subject: 'team a',
        changes: ['priority: none -> 1', 'keys: 2 added, 1 removed'],
      },
      { kind: 'added', subject: 'route new', changes: [] },
    ]);
  });
});
