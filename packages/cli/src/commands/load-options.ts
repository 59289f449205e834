/** Options of `load`: validates them and makes the load plan and the target of them. */
import { readFileSync } from 'node:fs';

import { z } from 'zod';

import type {
  LoadPlan,
  LoadTeam,
  Surge,
} from '@sesamegrade/load/plan/load-plan';
import type { LoadTarget } from '@sesamegrade/load/run/load-run';

/** Environment variable with the teams' keys, in the format of `--keys`. */
export const KEYS_VARIABLE = 'SESAMEGRADE_LOAD_KEYS';
/** Environment variable with the token of the routers' operator interface. */
export const TOKEN_VARIABLE = 'SESAMEGRADE_OPERATOR_TOKEN';

const MS_PER_SECOND = 1000;

const text = z.union([z.string(), z.number()]).transform(String);
const number = z.coerce.number().nonnegative();
const list = text.transform(value =>
  value
    .split(',')
    .map(item => item.trim())
    .filter(item => item !== ''),
);

/** `NAME=VALUE` pairs, separated by commas or line ends; entries that start with `#` are comments. */
const pairs = text.transform((value, context) => {
  const entries = value
    .split(/[,\n]/)
    .map(item => item.trim())
    .filter(item => item !== '' && !item.startsWith('#'));
  return entries.map(item => {
    const separator = item.indexOf('=');
    if (separator <= 0) {
      context.addIssue({ code: 'custom', message: 'expected NAME=VALUE' });
    }
    return {
      name: item.slice(0, separator).trim(),
      value: item.slice(separator + 1).trim(),
    };
  });
});

const surge = text.transform((value, context): Surge => {
  const match = /^([^:]+):([\d.]+):([\d.]+):([\d.]+)$/.exec(value);
  if (!match) {
    context.addIssue({
      code: 'custom',
      message: `expected TEAM:FACTOR:FROM:TO with FROM and TO in seconds, found "${value}"`,
    });
  }
  const [, team = '', factor, from, to] = match ?? [];
  return {
    team,
    factor: Number(factor),
    fromSecond: Number(from),
    toSecond: Number(to),
  };
});

export const loadOptionsSchema = z.object({
  routers: list.pipe(z.array(z.url()).min(1)),
  platform: text.pipe(z.url()).optional(),
  operators: list.pipe(z.array(z.url())).default([]),
  keys: text.optional(),
  keysFile: text.optional(),
  shares: pairs.default([]),
  seconds: number.positive().default(60),
  seed: number.int().default(1),
  models: list.default(['drafting']),
  chatsPerSecond: number.default(40),
  chats: number.int().positive().default(200),
  returnPauseMs: number.default(2000),
  turns: number.int().positive().default(8),
  maxTokens: number.int().positive().optional(),
  services: list.default([]),
  ordersPerSecond: number.default(10),
  resends: number.max(1).default(0.1),
  lookupsPerSecond: number.default(0),
  patienceSeconds: number.positive().default(30),
  surge: surge.optional(),
  json: z.boolean().default(false),
  report: text.optional(),
});

export type LoadOptions = z.infer<typeof loadOptionsSchema>;

const teamsSchema = pairs.pipe(
  z
    .array(z.object({ name: z.string(), value: z.string().min(1) }))
    .min(
      1,
      `no team keys found: set --keys, --keys-file or ${KEYS_VARIABLE} to TEAM=KEY,...`,
    ),
);

/**
 * Reads the teams and their keys. A team without an explicit share gets 1/n, n being
 * its position in the list.
 */
export function loadTeams(
  options: LoadOptions,
  environment: NodeJS.ProcessEnv,
): LoadTeam[] {
  const fromFile =
    options.keysFile === undefined
      ? undefined
      : readFileSync(options.keysFile, 'utf8');
  const keysText = options.keys ?? fromFile ?? environment[KEYS_VARIABLE] ?? '';
  const shares = new Map(
    options.shares.map(({ name, value }) => [name, Number(value)]),
  );
  return teamsSchema.parse(keysText).map(({ name, value }, index) => ({
    team: name,
    key: value,
    weight: shares.get(name) ?? 1 / (index + 1),
  }));
}

export function loadPlan(
  options: LoadOptions,
  teams: readonly LoadTeam[],
): LoadPlan {
  return {
    seed: options.seed,
    seconds: options.seconds,
    teams,
    models: options.models,
    chatsPerSecond: options.chatsPerSecond,
    chatPopulation: options.chats,
    returnPauseMs: options.returnPauseMs,
    turnsPerChat: options.turns,
    services: options.services,
    ordersPerSecond: options.ordersPerSecond,
    resends: options.resends,
    lookupsPerSecond: options.lookupsPerSecond,
    ...(options.surge ? { surge: options.surge } : {}),
    ...(options.maxTokens === undefined
      ? {}
      : { maxTokens: options.maxTokens }),
  };
}

export function loadTarget(
  options: LoadOptions,
  environment: NodeJS.ProcessEnv,
): LoadTarget {
  return {
    routers: options.routers,
    platform: options.platform,
    operators: options.operators,
    operatorToken: environment[TOKEN_VARIABLE],
    callerTimeoutMs: options.patienceSeconds * MS_PER_SECOND,
  };
}
