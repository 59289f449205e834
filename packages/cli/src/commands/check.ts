/** `sesamegrade check`: checks a settings file without running anything. */
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

/** Only settings for a deployment's platform have it. */
const STORE_SECTION = /^\[store\]/mu;

export class CheckCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('check <file>', 'Check a settings file')
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

/** Reads settings of a router on a deployment's platform, or of one with our own interface. */
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
    // `loadSettings` has named the reason already.
    return '';
  }
}
