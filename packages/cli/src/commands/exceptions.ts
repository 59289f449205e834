/** `exceptions list|add|remove`: deviations from the defaults, each with a reason. */
import type { CAC } from 'cac';
import { z } from 'zod';

import type { Exceptions } from '@sesamegrade/router/operators/operator-messages';
import type { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import { readValue } from './defaults';
import {
  changeRequest,
  changeSchema,
  checkOptions,
  clientFor,
  complain,
  reportChange,
  reportAnswer,
  reportFailure,
  withChangeOptions,
} from './operator-options';

const text = z.union([z.string(), z.number()]).transform(String);

const exceptionsSchema = changeSchema.extend({
  /** Such as `team:cooperative`. */
  scope: z
    .string()
    .regex(/^(team|model|service|engine):.+$/, 'expected KIND:NAME')
    .optional(),
  setting: z.string().optional(),
  value: z.union([text, z.boolean()]).optional(),
  reason: text.optional(),
});

type ExceptionsOptions = z.infer<typeof exceptionsSchema>;

function describeExceptions({ version, exceptions }: Exceptions): string[] {
  const lines = exceptions.map(entry => {
    const { id, scope, setting, value, reason, who } = entry;
    const when = new Date(entry.when).toISOString();
    const what = `${setting} = ${JSON.stringify(value)}`;
    return `${id}  ${scope.kind}:${scope.name}  ${what}  "${reason}"  ${who}, ${when}`;
  });
  return [`version ${version}, ${exceptions.length} exceptions`, ...lines];
}

async function list(
  client: OperatorClient,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const answer = await client.exceptions();
  return reportAnswer(answer, options.json, describeExceptions);
}

async function add(
  client: OperatorClient,
  id: string,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const { scope, setting, value, reason } = options;
  if (!scope || !setting || value === undefined || !reason) {
    complain('--scope, --setting, --value and --reason are required');
    return ExitCode.usage;
  }
  const at = scope.indexOf(':');
  const exception = {
    id,
    scope: { kind: scope.slice(0, at), name: scope.slice(at + 1) },
    setting,
    value: readValue(String(value)),
    reason,
  };
  const answer = await client.addException(exception, changeRequest(options));
  return answer.ok
    ? reportChange(answer.value, options.json)
    : reportFailure(answer.failure);
}

async function remove(
  client: OperatorClient,
  id: string,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const answer = await client.removeException(id, changeRequest(options));
  return answer.ok
    ? reportChange(answer.value, options.json)
    : reportFailure(answer.failure);
}

async function act(
  action: string,
  id: string | undefined,
  untrusted: unknown,
): Promise<ExitStatus> {
  const options = checkOptions(exceptionsSchema, untrusted);
  const client = options && clientFor(options.operator, options.tokenEnv);
  if (!client) {
    return ExitCode.usage;
  }
  if (action === 'list') {
    return list(client, options);
  }
  if (action !== 'add' && action !== 'remove') {
    complain(`unknown action "${action}": expected list, add or remove`);
    return ExitCode.usage;
  }
  if (!id) {
    complain('the id of the exception is required');
    return ExitCode.usage;
  }
  return action === 'add'
    ? add(client, id, options)
    : remove(client, id, options);
}

export class ExceptionsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    withChangeOptions(
      cli.command(
        'exceptions <action> [id]',
        'list, add ID or remove ID: deviations from the defaults',
      ),
    )
      .option(
        '--scope <kind:name>',
        'team, model, service or engine, and which',
      )
      .option('--setting <name>', 'The setting that differs')
      .option('--value <value>', 'Its value')
      .option('--reason <text>', 'Why; required and shown')
      .action((action: string, id: string | undefined, options: unknown) => {
        run(() => act(action, id, options));
      });
  }
}
