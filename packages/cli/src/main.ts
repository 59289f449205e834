/** Entry point of the command line program `sesamegrade`. */
import { cac } from 'cac';

import type { Command, ExitStatus } from './commands/command';
import { ExitCode } from './commands/command';
import { createCommands } from './commands/commands';
import { VERSION } from './version';

function printError(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Runs an action and sets its status as the exit code of the process. */
function run(action: () => Promise<ExitStatus>): void {
  action().then(
    status => {
      process.exitCode = status;
    },
    (error: unknown) => {
      printError(
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
    printError(
      `unknown command: ${cli.args.join(' ')}; see sesamegrade --help`,
    );
    process.exitCode = ExitCode.usage;
  });
  try {
    cli.parse();
  } catch (error) {
    printError(error instanceof Error ? error.message : String(error));
    process.exitCode = ExitCode.usage;
    return;
  }
  const hasNoArguments =
    process.argv.length <= 2 && !cli.options.help && !cli.options.version;
  if (hasNoArguments) {
    cli.outputHelp();
    process.exitCode = ExitCode.usage;
  }
}

// A reader such as `head` may close the pipe before all output is written.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') {
    throw error;
  }
});

main(createCommands());
