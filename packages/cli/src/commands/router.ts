/** `sesamegrade router`: runs one router until SIGTERM or SIGINT. */
import { randomInt } from 'node:crypto';

import type { CAC } from 'cac';

import { composeRouter } from '@sesamegrade/router/composition/container';
import { RouterProcess } from '@sesamegrade/router/process/router-process';
import { loadSecrets, loadSettings } from '@sesamegrade/settings/load';
import { formatFailure } from '@sesamegrade/settings/parse';
import type { SettingsFailure } from '@sesamegrade/settings/types/settings-failure';
import { VERSION } from '../version';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const MAX_SEED = 2 ** 31;

export class RouterCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('router', 'Run one router until SIGTERM or SIGINT')
      .option('--settings <file>', 'INI file with the settings of this router')
      .action((options: { settings?: unknown }) => {
        run(() => runRouter(optionText(options.settings)));
      });
  }
}

/** Returns the text of an option; empty when the option is absent or has no value. */
function optionText(option: unknown): string {
  return typeof option === 'string' || typeof option === 'number'
    ? String(option)
    : '';
}

async function runRouter(file: string): Promise<ExitStatus> {
  if (file === '') {
    process.stderr.write(
      'router: --settings FILE is required, an INI file with the settings of this router\n',
    );
    return ExitCode.usage;
  }
  const settings = loadSettings(file);
  if (!settings.ok) {
    return reportInvalid(settings.failure);
  }
  const secrets = loadSecrets(file, settings.value, process.env);
  if (!secrets.ok) {
    return reportInvalid(secrets.failure);
  }
  const container = composeRouter(settings.value, secrets.value, {
    incarnation: Date.now(),
    seed: randomInt(MAX_SEED),
    program: VERSION,
  });
  const router = new RouterProcess(container);
  const addresses = await router.start();
  process.stdout.write(`${JSON.stringify(addresses)}\n`);
  await stopSignal();
  const result = await router.stop();
  return result.kind === 'drained' ? ExitCode.success : ExitCode.failure;
}

/** Resolves at the first SIGTERM or SIGINT; the second one terminates the process immediately. */
function stopSignal(): Promise<void> {
  return new Promise(resolve => {
    const stop = () => {
      process.off('SIGTERM', stop);
      process.off('SIGINT', stop);
      resolve();
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });
}

/** Prints each error of a settings file on a line of its own. */
export function reportInvalid(
  failures: readonly SettingsFailure[],
): ExitStatus {
  for (const failure of failures) {
    process.stderr.write(`${formatFailure(failure)}\n`);
  }
  return ExitCode.invalid;
}
