/** Documents that a deployment's operator and servers write to its store, for tests. */

export const TEST_HOST = 'calls.example';
export const TEST_KEY = 'key-1';
export const TEST_TEAM = 'team-1';

export interface TestRoute {
  readonly name: string;
  readonly prefix: string;
  readonly kind: 'idempotent' | 'non_idempotent' | 'streaming';
  readonly service?: string;
  /** Services among which the requests are split, in place of one. */
  readonly trafficSplit?: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  readonly timeoutMs?: number;
  readonly maxAttempts?: number;
  readonly resumable?: boolean;
  readonly goalMs?: number;
  readonly anonymous?: boolean;
}

/** The routes that most tests use: one of each kind, and a streaming one that is resumable. */
export const TEST_ROUTES: readonly TestRoute[] = [
  {
    name: 'lookup',
    prefix: '/lookup/',
    kind: 'idempotent',
    service: 'registry',
    maxAttempts: 2,
  },
  {
    name: 'order',
    prefix: '/order/',
    kind: 'non_idempotent',
    service: 'registry',
  },
  {
    name: 'draft',
    prefix: '/draft/',
    kind: 'streaming',
    service: 'registry',
    maxAttempts: 2,
    resumable: true,
  },
  {
    name: 'summary',
    prefix: '/summary/',
    kind: 'streaming',
    service: 'registry',
  },
];

export function manifest(
  version: number,
  routes: readonly TestRoute[] = TEST_ROUTES,
  keys: readonly string[] = [TEST_KEY],
  services: readonly string[] = [],
): unknown {
  return {
    version,
    routes: routes.map(route => ({
      host: TEST_HOST,
      timeoutMs: 2000,
      goalMs: 500,
      priority: 0,
      maxAttempts: 1,
      anonymous: false,
      sticky: false,
      resumable: false,
      ...route,
    })),
    services: [
      { name: 'registry', healthPath: '/health', maxConns: 100 },
      { name: 'other', healthPath: '/health', maxConns: 100 },
      {
        name: 'drafting',
        healthPath: '/health',
        maxConns: 100,
        engine: { slots: 8, kvCapacity: 100_000, most: 2, backups: true },
      },
      ...services.map(name => ({
        name,
        healthPath: '/health',
        maxConns: 100,
      })),
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: TEST_TEAM, apiKeys: keys }],
  };
}

export function serverEntry(
  address: string,
  fields: Readonly<Record<string, unknown>> = {},
): unknown {
  return {
    service: 'registry',
    address,
    zone: 'zone-a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    warmupMs: 0,
    seq: 1,
    ...fields,
  };
}
