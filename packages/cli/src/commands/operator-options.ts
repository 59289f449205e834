/** Options that every command towards a router's operator API has. */
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
      'Operator address of any router, such as http://10.0.0.5:7003',
    )
    .option('--token-env <name>', 'Environment variable that holds the token', {
      default: DEFAULT_TOKEN_ENV,
    })
    .option('--json', 'Print JSON');
}

export function withChangeOptions(command: CacCommand): CacCommand {
  return withOperatorOptions(command)
    .option('--who <name>', 'Who asks for the change; your login by default')
    .option(
      '--change-id <id>',
      'Id that recognises a resend of the same change',
    )
    .option('--expected <version>', 'Version that the change is relative to');
}

export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

export function complain(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Validates options; on failure says what is wrong. */
export function checkOptions<Options>(
  schema: z.ZodType<Options>,
  untrusted: unknown,
): Options | undefined {
  const parsed = schema.safeParse(untrusted);
  if (parsed.success) {
    return parsed.data;
  }
  complain(z.prettifyError(parsed.error));
  return undefined;
}

/** Returns the client for an address, or says that the token is missing. */
export function clientFor(
  origin: string | undefined,
  tokenEnv: string,
): OperatorClient | undefined {
  const token = process.env[tokenEnv];
  if (!origin) {
    complain('--operator is required');
    return undefined;
  }
  if (!token) {
    complain(`the environment variable ${tokenEnv} holds no token`);
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

/** Says why a call failed and returns the exit status for it. */
/** Prints what a router answered, as JSON or as lines, or why it did not. */
export function reportAnswer<Answer>(
  answer: Result<Answer, OperatorFailure>,
  json: boolean,
  describe: (answer: Answer) => readonly string[],
): ExitStatus {
  if (!answer.ok) {
    return reportFailure(answer.failure);
  }
  const { value } = answer;
  const lines = json ? [JSON.stringify(value)] : describe(value);
  lines.forEach(print);
  return ExitCode.success;
}

export function reportFailure(failure: OperatorFailure): ExitStatus {
  switch (failure.kind) {
    case 'unreachable':
      complain(`the router could not be reached: ${failure.detail}`);
      return ExitCode.unreachable;
    case 'unauthorized':
      complain('the router does not accept the token');
      return ExitCode.failure;
    case 'refused':
      complain(`the router refused the call: ${failure.detail}`);
      return ExitCode.invalid;
    case 'unreadable-answer':
      complain(`the answer could not be understood: ${failure.detail}`);
      return ExitCode.failure;
  }
}

/** Says what became of a change and returns the exit status for it. */
export function reportChange(
  answer: ChangeResponse,
  json: boolean,
): ExitStatus {
  if (json) {
    print(JSON.stringify(answer));
  }
  const say = json ? () => undefined : complain;
  switch (answer.kind) {
    case 'committed':
      if (!json) {
        print(`accepted as version ${answer.version}`);
      }
      return ExitCode.success;
    case 'conflict': {
      const { version, who, changeId } = answer.winner;
      say(`not accepted: version ${version} is ${who}'s change ${changeId}`);
      return ExitCode.conflict;
    }
    case 'invalid':
      say(`not accepted: ${answer.problem}`);
      return ExitCode.invalid;
    case 'not-accepted':
      say(`not accepted: ${answer.problem}`);
      return ExitCode.unreachable;
    case 'unknown':
      say(
        `not known yet: send it again with --change-id ${answer.changeId} to find out`,
      );
      return ExitCode.unreachable;
  }
}
