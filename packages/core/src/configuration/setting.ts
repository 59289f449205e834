/** Every setting of the fleet that operators may change while it runs. */
import { z } from 'zod';

/** What an exception may be about. */
export const scopeKindSchema = z.enum(['team', 'model', 'service', 'engine']);
export type ScopeKind = z.infer<typeof scopeKindSchema>;

/** One setting: what it accepts, its value when nothing is set, where exceptions may apply. */
export interface SettingDefinition<Value> {
  readonly schema: z.ZodType<Value>;
  readonly builtIn: Value;
  readonly scopes: readonly ScopeKind[];
  /** Unit and meaning, for the operators' reference. */
  readonly meaning: string;
}

function define<Value>(
  schema: z.ZodType<Value>,
  builtIn: Value,
  scopes: readonly ScopeKind[],
  meaning: string,
): SettingDefinition<Value> {
  return { schema, builtIn, scopes, meaning };
}

const fraction = z.number().min(0).max(1);
const milliseconds = z.int().min(0).max(86_400_000);
const names = z.array(z.string().min(1).max(100)).max(64);

export const SETTINGS = {
  loadBound: define(
    z.number().min(1).max(10),
    1.25,
    ['model', 'service'],
    'Most load of one engine, as a multiple of the mean load.',
  ),
  skewWeight: define(
    fraction,
    0.5,
    ['model', 'team'],
    'How far even load goes before cache reuse: 0 is reuse only, 1 is even load only.',
  ),
  teamLimit: define(
    z.int().min(0).max(1_000_000),
    1000,
    ['team'],
    'Requests of one team in flight over the whole fleet.',
  ),
  teamWeight: define(
    z.number().min(0.01).max(1000),
    1,
    ['team'],
    'Weight of a team’s share when capacity is short.',
  ),
  retryFraction: define(
    fraction,
    0.08,
    [],
    'Retries allowed, as a fraction of first attempts.',
  ),
  queueWaitMs: define(
    milliseconds,
    2000,
    [],
    'Longest wait for capacity before a request is refused, in milliseconds.',
  ),
  requestTimeoutMs: define(
    milliseconds,
    600_000,
    ['team', 'model', 'service'],
    'Deadline of a request that names none, in milliseconds.',
  ),
  ejectionCap: define(
    fraction,
    0.34,
    [],
    'Fraction of the endpoints that may be ejected at once.',
  ),
  wantedEngines: define(
    z.int().min(0).max(10_000),
    1,
    ['model'],
    'Engines that hold the model.',
  ),
  modelVersion: define(
    z.string().min(1).max(100),
    'latest',
    ['model'],
    'Version of the model’s weights.',
  ),
  adapters: define(names, [], ['model'], 'Adapters loaded beside a model.'),
  engineRole: define(
    z.enum(['mixed', 'prefill', 'decode']),
    'mixed',
    ['model'],
    'What an engine does for its model.',
  ),
  stopWaitMs: define(
    milliseconds,
    0,
    [],
    'Longest wait of a planned stop for requests in flight, in milliseconds; 0 is no limit.',
  ),
} as const;

export type SettingName = keyof typeof SETTINGS;
export type SettingValues = {
  [Name in SettingName]: z.infer<(typeof SETTINGS)[Name]['schema']>;
};

export const SETTING_NAMES = Object.keys(SETTINGS) as SettingName[];

export function isSettingName(name: string): name is SettingName {
  return Object.hasOwn(SETTINGS, name);
}

/** Checks a value against its setting; returns what is wrong with it. */
export function valueProblem(
  name: SettingName,
  value: unknown,
): string | undefined {
  const parsed = SETTINGS[name].schema.safeParse(value);
  return parsed.success ? undefined : z.prettifyError(parsed.error);
}
