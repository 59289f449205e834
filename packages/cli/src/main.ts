/** Entry point of the one program. */
import { cac } from 'cac';

import type { Command, ExitStatus } from './commands/command';
import { ExitCode } from './commands/command';
import { createCommands } from './commands/commands';
import { VERSION } from './version';

function print(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Runs an action and leaves its status as the exit code of the process. */
function run(action: () => Promise<ExitStatus>): void {
  action().then(
    status => {
      process.exitCode = status;
    },
    (error: unknown) => {
      print(
        error instanceof Error ? (error.stack ?? error.message) : String(error),
      );
      process.exitCode = ExitCode.failure;
    },
  );
}

function main(registered: readonly Command[]): void {
  const cli = cac('sesamegrade');
  cli.help();
  cli.version(VERSION);
  for (const command of registered) {
    command.register(cli, run);
  }
  cli.addEventListener('command:*', () => {
    print(`unknown command: ${cli.args.join(' ')}`);
    process.exitCode = ExitCode.usage;
  });
  try {
    cli.parse();
  } catch (error) {
    print(error instanceof Error ? error.message : String(error));
    process.exitCode = ExitCode.usage;
    return;
  }
  const nothingAsked =
    process.argv.length <= 2 && !cli.options.help && !cli.options.version;
  if (nothingAsked) {
    cli.outputHelp();
    process.exitCode = ExitCode.usage;
  }
}

// A reader such as `head` may close the pipe before everything is written.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

main(createCommands());
