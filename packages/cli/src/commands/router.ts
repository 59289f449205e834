/** `sesamegrade router`: runs one router until it is told to stop. */
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
      .command('router', 'Run one router until SIGTERM')
      .option('--settings <file>', 'INI file with the settings of this router')
      .action((options: { settings?: unknown }) => {
        run(() => runRouter(textOf(options.settings)));
      });
  }
}

/** Returns an option's text; a flag without a value counts as not given. */
function textOf(option: unknown): string {
  return typeof option === 'string' || typeof option === 'number'
    ? String(option)
    : '';
}

async function runRouter(file: string): Promise<ExitStatus> {
  if (file === '') {
    process.stderr.write('router: --settings FILE is required\n');
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

/** Resolves at the first SIGTERM or SIGINT; a second one ends the process at once. */
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

/** Prints every fault of a settings file, a line each. */
export function reportInvalid(
  failures: readonly SettingsFailure[],
): ExitStatus {
  for (const failure of failures) {
    process.stderr.write(`${formatFailure(failure)}\n`);
  }
  return ExitCode.invalid;
}
