/** `sesamegrade explain`: tells from routers' logs what became of one request. */
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
        "Tell from routers' logs what became of a request",
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
  const lines: string[] = [];
  for (const file of files) {
    try {
      lines.push(...readFileSync(file, 'utf8').split('\n'));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      process.stderr.write(`${file}: ${reason}\n`);
      return ExitCode.invalid;
    }
  }
  const story = traceRequest(request, lines);
  if (json) {
    process.stdout.write(`${JSON.stringify(story)}\n`);
  } else {
    const told = [
      `request ${request}: ${story.own.length} lines`,
      ...story.own.map(formatLine),
      `around it: ${story.around.length} lines`,
      ...story.around.map(formatLine),
    ];
    process.stdout.write(`${told.join('\n')}\n`);
  }
  return story.own.length > 0 ? ExitCode.success : ExitCode.failure;
}
