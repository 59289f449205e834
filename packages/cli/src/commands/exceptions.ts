/** `exceptions list|add|remove`: lists or changes the deviations from the fleet-wide defaults, each with a reason. */
import type { CAC } from 'cac';
import { z } from 'zod';

import type { Exceptions } from '@sesamegrade/router/operators/operator-messages';
import type { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import { parseValue } from './defaults';
import {
  changeRequest,
  changeSchema,
  checkOptions,
  createClient,
  printError,
  reportChange,
  reportResponse,
  reportFailure,
  withChangeOptions,
} from './operator-options';

const text = z.union([z.string(), z.number()]).transform(String);

const exceptionsSchema = changeSchema.extend({
  /** `KIND:NAME`, such as `team:cooperative`. */
  scope: z
    .string()
    .regex(
      /^(team|model|service|engine):.+$/,
      'expected KIND:NAME, KIND being team, model, service or engine',
    )
    .optional(),
  setting: z.string().optional(),
  value: z.union([text, z.boolean()]).optional(),
  reason: text.optional(),
});

type ExceptionsOptions = z.infer<typeof exceptionsSchema>;

function describeExceptions({ version, exceptions }: Exceptions): string[] {
  const lines = exceptions.map(entry => {
    const { id, scope, setting, value, reason, who } = entry;
    const changedAt = new Date(entry.when).toISOString();
    const assignment = `${setting} = ${JSON.stringify(value)}`;
    return `${id}  ${scope.kind}:${scope.name}  ${assignment}  "${reason}"  ${who}, ${changedAt}`;
  });
  return [`version ${version}, ${exceptions.length} exceptions`, ...lines];
}

async function list(
  client: OperatorClient,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const response = await client.exceptions();
  return reportResponse(response, options.json, describeExceptions);
}

async function add(
  client: OperatorClient,
  id: string,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const { scope, setting, value, reason } = options;
  if (!scope || !setting || value === undefined || !reason) {
    printError(
      'exceptions add: --scope, --setting, --value and --reason are required',
    );
    return ExitCode.usage;
  }
  const separator = scope.indexOf(':');
  const exception = {
    id,
    scope: {
      kind: scope.slice(0, separator),
      name: scope.slice(separator + 1),
    },
    setting,
    value: parseValue(String(value)),
    reason,
  };
  const response = await client.addException(exception, changeRequest(options));
  return response.ok
    ? reportChange(response.value, options.json)
    : reportFailure(response.failure);
}

async function remove(
  client: OperatorClient,
  id: string,
  options: ExceptionsOptions,
): Promise<ExitStatus> {
  const response = await client.removeException(id, changeRequest(options));
  return response.ok
    ? reportChange(response.value, options.json)
    : reportFailure(response.failure);
}

async function runAction(
  action: string,
  id: string | undefined,
  rawOptions: unknown,
): Promise<ExitStatus> {
  const options = checkOptions(exceptionsSchema, rawOptions);
  const client = options && createClient(options.operator, options.tokenEnv);
  if (!client) {
    return ExitCode.usage;
  }
  if (action === 'list') {
    return list(client, options);
  }
  if (action !== 'add' && action !== 'remove') {
    printError(`unknown action "${action}": expected list, add or remove`);
    return ExitCode.usage;
  }
  if (!id) {
    printError(`exceptions ${action}: the id of the exception is required`);
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
        'Deviations from the fleet-wide settings: list, add ID or remove ID',
      ),
    )
      .option(
        '--scope <kind:name>',
        'team, model, service or engine, and which',
      )
      .option('--setting <name>', 'Name of the setting')
      .option('--value <value>', 'Value of the setting in this scope')
      .option('--reason <text>', 'Reason, shown in the list (required to add)')
      .action((action: string, id: string | undefined, options: unknown) => {
        run(() => runAction(action, id, options));
      });
  }
}
