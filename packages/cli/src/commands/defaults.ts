/** `defaults show|set`: the settings of the whole fleet. */
import type { CAC } from 'cac';

import type { Defaults } from '@sesamegrade/router/operators/operator-messages';
import type { OperatorClient } from '@sesamegrade/router/operators/operator-client';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
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
import type { ChangeOptions } from './operator-options';

/** Reads a value as JSON, or as a text when it is none. */
export function readValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Reads `name=value` pairs; returns nothing when one has no name. */
function readPairs(
  pairs: readonly string[],
): Record<string, unknown> | undefined {
  const values: Record<string, unknown> = {};
  for (const pair of pairs) {
    const at = pair.indexOf('=');
    if (at < 1) {
      return undefined;
    }
    values[pair.slice(0, at)] = readValue(pair.slice(at + 1));
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
  const answer = await client.defaults();
  return reportAnswer(answer, options.json, describeDefaults);
}

async function set(
  client: OperatorClient,
  pairs: readonly string[],
  options: ChangeOptions,
): Promise<ExitStatus> {
  const values = readPairs(pairs);
  if (!values) {
    complain('expected NAME=VALUE, such as loadBound=1.3; null takes it back');
    return ExitCode.usage;
  }
  const answer = await client.setDefaults(values, changeRequest(options));
  return answer.ok
    ? reportChange(answer.value, options.json)
    : reportFailure(answer.failure);
}

async function act(
  action: string,
  pairs: readonly string[],
  untrusted: unknown,
): Promise<ExitStatus> {
  const options = checkOptions(changeSchema, untrusted);
  const client = options && clientFor(options.operator, options.tokenEnv);
  if (!client) {
    return ExitCode.usage;
  }
  switch (action) {
    case 'show':
      return show(client, options);
    case 'set':
      return set(client, pairs, options);
    default:
      complain(`unknown action "${action}": expected show or set`);
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
        'show, or set NAME=VALUE…: the settings of the whole fleet',
      ),
    ).action((action: string, values: string[], options: unknown) => {
      run(() => act(action, values, options));
    });
  }
}
