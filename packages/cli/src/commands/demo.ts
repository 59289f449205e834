/** `demo`: runs a complete fleet in this process under a short load and prints the summary. */
import { writeFileSync } from 'node:fs';

import type { CAC } from 'cac';
import { z } from 'zod';

import { Demo } from '@sesamegrade/load/demo/demo';
import type { RouterLauncher } from '@sesamegrade/load/demo/router-launcher';
import { renderReport } from '@sesamegrade/load/report/html-report';
import type { LoadRun } from '@sesamegrade/load/run/load-run';
import { showProgress } from '@sesamegrade/load/run/progress-line';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';
import { loadExitStatus, printSummary } from './load';

const optionsSchema = z.object({
  seconds: z.coerce.number().positive().max(600).default(20),
  seed: z.coerce.number().int().default(1),
  json: z.boolean().default(false),
  report: z.coerce.string().optional(),
});

export class DemoCommand extends Command {
  readonly #launcher: RouterLauncher;

  /** @param launcher starts the routers of the fleet */
  constructor(launcher: RouterLauncher) {
    super();
    this.#launcher = launcher;
  }

  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command('demo', 'Run a small fleet on loopback under a short load')
      .option('--seconds <seconds>', 'Duration of the load (default 20)')
      .option('--seed <number>', 'Seed of all random choices (default 1)')
      .option('--json', 'Print the summary as JSON')
      .option('--report <file>', 'Write an HTML report to this file')
      .action((options: unknown) => {
        run(() => this.#run(options));
      });
  }

  async #run(rawOptions: unknown): Promise<ExitStatus> {
    const options = optionsSchema.safeParse(rawOptions);
    if (!options.success) {
      process.stderr.write(`${z.prettifyError(options.error)}\n`);
      return ExitCode.usage;
    }
    const { report, json } = options.data;
    const printProgress = (line: string) => process.stderr.write(`${line}\n`);
    const demo = new Demo(options.data, this.#launcher, printProgress);
    let load: LoadRun | undefined;
    let endProgress: (() => void) | undefined;
    const summary = await demo
      .run(started => {
        load = started;
        endProgress = showProgress(started, process.stderr);
      })
      .finally(() => endProgress?.());
    if (report !== undefined && load) {
      writeFileSync(report, renderReport(load, summary));
    }
    printSummary(summary, json);
    return loadExitStatus(summary);
  }
}
