/** `defaults show|set`: shows or changes the fleet-wide settings. */
import type { CAC } from 'cac';

import type { Defaults } from '@sesamegrade/router/operators/operator-messages';
import type { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
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
import type { ChangeOptions } from './operator-options';

/** Parses a value as JSON; returns the text itself when it is not JSON. */
export function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Parses `name=value` pairs; undefined when there is none or one has no name. */
function parsePairs(
  pairs: readonly string[],
): Record<string, unknown> | undefined {
  const values: Record<string, unknown> = {};
  for (const pair of pairs) {
    const separator = pair.indexOf('=');
    if (separator < 1) {
      return undefined;
    }
    values[pair.slice(0, separator)] = parseValue(pair.slice(separator + 1));
  }
  return pairs.length > 0 ? values : undefined;
}

function describeDefaults(defaults: Defaults): string[] {
  const lines = defaults.settings.map(setting => {
    const origin = setting.set ? 'set' : 'built in';
    const value = JSON.stringify(setting.value);
    return `${setting.name.padEnd(18)} ${value.padEnd(10)} ${origin.padEnd(9)} ${setting.meaning}`;
  });
  return [`version ${defaults.version}`, ...lines];
}

async function show(
  client: OperatorClient,
  options: ChangeOptions,
): Promise<ExitStatus> {
  const response = await client.defaults();
  return reportResponse(response, options.json, describeDefaults);
}

async function set(
  client: OperatorClient,
  pairs: readonly string[],
  options: ChangeOptions,
): Promise<ExitStatus> {
  const values = parsePairs(pairs);
  if (!values) {
    printError(
      'expected NAME=VALUE, such as loadBound=1.3; NAME=null restores the built-in value',
    );
    return ExitCode.usage;
  }
  const response = await client.setDefaults(values, changeRequest(options));
  return response.ok
    ? reportChange(response.value, options.json)
    : reportFailure(response.failure);
}

async function runAction(
  action: string,
  pairs: readonly string[],
  rawOptions: unknown,
): Promise<ExitStatus> {
  const options = checkOptions(changeSchema, rawOptions);
  const client = options && createClient(options.operator, options.tokenEnv);
  if (!client) {
    return ExitCode.usage;
  }
  switch (action) {
    case 'show':
      return show(client, options);
    case 'set':
      return set(client, pairs, options);
    default:
      printError(`unknown action "${action}": expected show or set`);
      return ExitCode.usage;
  }
}

export class DefaultsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    withChangeOptions(
      cli.command(
        'defaults <action> [...values]',
        'Fleet-wide settings: show, or set NAME=VALUE…',
      ),
    ).action((action: string, values: string[], options: unknown) => {
      run(() => runAction(action, values, options));
    });
  }
}
