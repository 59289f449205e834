/** `sesamegrade check`: checks a settings file without running anything. */
import type { CAC } from 'cac';

import { loadSettings } from '@sesamegrade/settings/load';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import { reportInvalid } from './router';

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
  const settings = loadSettings(file);
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
