/** Options, output and exit statuses shared by the commands that use a router's operator API. */
import type { Command as CacCommand } from 'cac';
import { z } from 'zod';

import type { Result } from '@sesamegrade/core/types/result';
import type { ChangeResponse } from '@sesamegrade/router/operators/operator-messages';
import { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import type {
  ChangeRequest,
  OperatorFailure,
} from '@sesamegrade/router/operators/operator-client';
import { ExitCode } from './command';
import type { ExitStatus } from './command';

export const DEFAULT_TOKEN_ENV = 'SESAMEGRADE_OPERATOR_TOKEN';

const text = z.union([z.string(), z.number()]).transform(String);

export const operatorSchema = z.object({
  operator: z.url({ protocol: /^https?$/ }).optional(),
  tokenEnv: z.string().default(DEFAULT_TOKEN_ENV),
  json: z.boolean().default(false),
});

export const changeSchema = operatorSchema.extend({
  who: text.optional(),
  changeId: text.optional(),
  expected: z.int().min(0).optional(),
});

export type OperatorOptions = z.infer<typeof operatorSchema>;
export type ChangeOptions = z.infer<typeof changeSchema>;

export function withOperatorOptions(command: CacCommand): CacCommand {
  return command
    .option(
      '--operator <url>',
      'Operator interface of any router, such as http://10.0.0.5:7003 (required)',
    )
    .option(
      '--token-env <name>',
      'Environment variable with the operator token',
      {
        default: DEFAULT_TOKEN_ENV,
      },
    )
    .option('--json', 'Print JSON');
}

export function withChangeOptions(command: CacCommand): CacCommand {
  return withOperatorOptions(command)
    .option('--who <name>', 'Author of the change (default: $USER)')
    .option(
      '--change-id <id>',
      'Id by which a repeated command is recognised as the same change',
    )
    .option(
      '--expected <version>',
      'Only apply the change if this is the current version',
    );
}

export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

export function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Validates options; prints the errors and returns undefined on failure. */
export function checkOptions<Options>(
  schema: z.ZodType<Options>,
  rawOptions: unknown,
): Options | undefined {
  const parsed = schema.safeParse(rawOptions);
  if (parsed.success) {
    return parsed.data;
  }
  printError(z.prettifyError(parsed.error));
  return undefined;
}

/** Creates the client of a router; prints an error and returns undefined without address or token. */
export function createClient(
  origin: string | undefined,
  tokenEnv: string,
): OperatorClient | undefined {
  const token = process.env[tokenEnv];
  if (!origin) {
    printError(
      'no operator address: set --operator URL (timeline: --routers URL,...), such as http://10.0.0.5:7003',
    );
    return undefined;
  }
  if (!token) {
    printError(
      `the environment variable ${tokenEnv} is unset or empty: it must hold the operator token; --token-env names another variable`,
    );
    return undefined;
  }
  return new OperatorClient({ origin, token });
}

export function changeRequest(options: ChangeOptions): ChangeRequest {
  const { changeId, expected } = options;
  return {
    who: options.who ?? process.env.USER ?? 'unknown',
    ...(changeId !== undefined && { changeId }),
    ...(expected !== undefined && { expected }),
  };
}

/** Prints the response of a router as JSON or as lines, or why there is none; returns the exit status. */
export function reportResponse<Value>(
  response: Result<Value, OperatorFailure>,
  json: boolean,
  describe: (response: Value) => readonly string[],
): ExitStatus {
  if (!response.ok) {
    return reportFailure(response.failure);
  }
  const { value } = response;
  const lines = json ? [JSON.stringify(value)] : describe(value);
  lines.forEach(print);
  return ExitCode.success;
}

/** Prints why a request to a router failed and returns the exit status. */
export function reportFailure(failure: OperatorFailure): ExitStatus {
  switch (failure.kind) {
    case 'unreachable':
      printError(`the router could not be reached: ${failure.detail}`);
      return ExitCode.unreachable;
    case 'unauthorized':
      printError(
        'the router rejected the operator token; --token-env names the environment variable that holds it',
      );
      return ExitCode.failure;
    case 'refused':
      printError(`the router rejected the request: ${failure.detail}`);
      return ExitCode.invalid;
    case 'unreadable-answer':
      printError(
        `the response of the router could not be parsed: ${failure.detail}`,
      );
      return ExitCode.failure;
  }
}

/** Prints the outcome of a change and returns the exit status. */
export function reportChange(
  response: ChangeResponse,
  json: boolean,
): ExitStatus {
  if (json) {
    print(JSON.stringify(response));
  }
  const printProblem = json ? () => undefined : printError;
  switch (response.kind) {
    case 'committed':
      if (!json) {
        print(`accepted as version ${response.version}`);
      }
      return ExitCode.success;
    case 'conflict': {
      const { version, who, changeId } = response.winner;
      printProblem(
        `not accepted: it conflicts with version ${version}, change ${changeId} by ${who}`,
      );
      return ExitCode.conflict;
    }
    case 'invalid':
      printProblem(`not accepted: ${response.problem}`);
      return ExitCode.invalid;
    case 'not-accepted':
      printProblem(`not accepted: ${response.problem}`);
      return ExitCode.unreachable;
    case 'unknown':
      printProblem(
        `outcome unknown: repeat the command with --change-id ${response.changeId} to find out`,
      );
      return ExitCode.unreachable;
  }
}
