/** Definitions of all fleet settings that operators may change at run time. */
import { z } from 'zod';

/** Kinds of scope that an exception may have. */
export const scopeKindSchema = z.enum(['team', 'model', 'service', 'engine']);
export type ScopeKind = z.infer<typeof scopeKindSchema>;

/**
 * One setting: schema of its values, built-in value, and the scopes that allow
 * exceptions.
 */
export interface SettingDefinition<Value> {
  readonly schema: z.ZodType<Value>;
  readonly builtIn: Value;
  readonly scopes: readonly ScopeKind[];
  /** Unit and meaning, shown to operators. */
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
    'Maximum load of one engine, as a multiple of the mean load.',
  ),
  skewWeight: define(
    fraction,
    0.5,
    ['model', 'team'],
    'Weight of even load against cache reuse: 0 is reuse only, 1 is even load only.',
  ),
  teamLimit: define(
    z.int().min(0).max(1_000_000),
    1000,
    ['team'],
    'Maximum requests in flight of one team over the whole fleet.',
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
    'Maximum wait for capacity before a request is refused, in milliseconds.',
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
    'Maximum fraction of endpoints ejected at the same time.',
  ),
  wantedEngines: define(
    z.int().min(0).max(10_000),
    1,
    ['model'],
    'Number of engines that serve the model.',
  ),
  modelVersion: define(
    z.string().min(1).max(100),
    'latest',
    ['model'],
    'Version of the model’s weights.',
  ),
  adapters: define(names, [], ['model'], 'Adapters loaded with the model.'),
  engineRole: define(
    z.enum(['mixed', 'prefill', 'decode']),
    'mixed',
    ['model'],
    'Role of the engines that serve the model.',
  ),
  stopWaitMs: define(
    milliseconds,
    0,
    [],
    'Maximum wait of a planned stop for requests in flight, in milliseconds; 0 means no limit.',
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

/** Returns why a value is invalid for its setting; undefined when it is valid. */
export function valueProblem(
  name: SettingName,
  value: unknown,
): string | undefined {
  const parsed = SETTINGS[name].schema.safeParse(value);
  return parsed.success ? undefined : z.prettifyError(parsed.error);
}
