/** `sesamegrade check`: validates a settings file without starting a router. */
import { readFileSync } from 'node:fs';

import type { CAC } from 'cac';

import type { Result } from '@sesamegrade/core/types/result';
import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';
import { loadSettings } from '@sesamegrade/settings/load';
import { parseIni } from '@sesamegrade/settings/parse';
import type { SettingsFailure } from '@sesamegrade/settings/types/settings-failure';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import { reportInvalid } from './router';

/** Only the settings of a router on a deployment's platform have this section. */
const STORE_SECTION = /^\[store\]/mu;

export class CheckCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'check <file>',
        'Validate a settings file and list all its errors',
      )
      .option('--json', 'Print the result as JSON')
      .action((file: unknown, options: { json?: boolean }) => {
        run(() => Promise.resolve(check(String(file), options.json === true)));
      });
  }
}

function check(file: string, json: boolean): ExitStatus {
  const settings = loadAnySettings(file);
  if (json) {
    const faults = settings.ok ? [] : settings.failure;
    process.stdout.write(`${JSON.stringify({ file, faults })}\n`);
    return settings.ok ? ExitCode.success : ExitCode.invalid;
  }
  if (!settings.ok) {
    return reportInvalid(settings.failure);
  }
  process.stdout.write(`${file}: valid\n`);
  return ExitCode.success;
}

/** Reads the settings of either kind of router; a [store] section marks those for a deployment's platform. */
function loadAnySettings(
  file: string,
): Result<unknown, readonly SettingsFailure[]> {
  const settings = loadSettings(file);
  const text = settings.ok ? '' : readText(file);
  return STORE_SECTION.test(text)
    ? parseIni(gatewaySettingsSchema, file, text)
    : settings;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    // `loadSettings` has already reported the reason.
    return '';
  }
}
