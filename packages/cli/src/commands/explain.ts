/** `sesamegrade explain`: prints the trace of one request from the logs of routers. */
import { readFileSync } from 'node:fs';

import type { CAC } from 'cac';

import {
  formatLine,
  traceRequest,
} from '@sesamegrade/gateway/logs/request-trace';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

export class ExplainCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'explain <request> <...files>',
        "Print the trace of a request from routers' logs",
      )
      .option('--json', 'Print the lines as JSON')
      .action(
        (request: unknown, files: unknown, options: { json?: boolean }) => {
          const names = (files as readonly unknown[]).map(String);
          run(() =>
            Promise.resolve(
              explain(String(request), names, options.json === true),
            ),
          );
        },
      );
  }
}

function explain(
  request: string,
  files: readonly string[],
  json: boolean,
): ExitStatus {
  const logLines: string[] = [];
  for (const file of files) {
    try {
      logLines.push(...readFileSync(file, 'utf8').split('\n'));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      process.stderr.write(`${file}: ${reason}\n`);
      return ExitCode.invalid;
    }
  }
  const trace = traceRequest(request, logLines);
  if (json) {
    process.stdout.write(`${JSON.stringify(trace)}\n`);
  } else {
    const output = [
      `request ${request}: ${trace.own.length} lines`,
      ...trace.own.map(formatLine),
      `related lines: ${trace.around.length} lines`,
      ...trace.around.map(formatLine),
    ];
    process.stdout.write(`${output.join('\n')}\n`);
  }
  return trace.own.length > 0 ? ExitCode.success : ExitCode.failure;
}
