/** `faults`: writes the fault matrix, or runs many seeded histories with injected faults. */
import { writeFileSync } from 'node:fs';

import type { CAC } from 'cac';
import { z } from 'zod';

import type { HistoryTotals } from '@sesamegrade/faults/matrix/histories';
import { runHistories } from '@sesamegrade/faults/matrix/histories';
import {
  PAGE_OPTIONS,
  failures,
  renderMatrix,
  runMatrix,
} from '@sesamegrade/faults/matrix/report';
import { scenarios } from '@sesamegrade/faults/matrix/scenarios';
import { Command, ExitCode } from './command';
import type { ExitStatus } from './command';

const MAX_PRINTED_HISTORIES = 5;

const optionsSchema = z.object({
  seed: z.coerce.number().int().min(0).max(0x3fffffff).default(1),
  rounds: z.coerce.number().int().min(1).max(10_000_000).default(1000),
  scenario: z.string().optional(),
  page: z.string().min(1).optional(),
  json: z.boolean().default(false),
});

type FaultOptions = z.output<typeof optionsSchema>;

/** Totals of one scenario's histories, with the rate at which they ran. */
interface TimedTotals extends HistoryTotals {
  readonly perSecond: number;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function writePage(path: string): ExitStatus {
  const all = scenarios();
  const matrix = runMatrix(all, PAGE_OPTIONS);
  writeFileSync(path, renderMatrix(all, matrix, PAGE_OPTIONS));
  const failed = failures(matrix);
  for (const cell of failed) {
    print(JSON.stringify(cell));
  }
  print(`${matrix.cells.length} cells, ${matrix.pairs.length} pairs`);
  return failed.length === 0 ? ExitCode.success : ExitCode.failure;
}

function printTotals(totals: TimedTotals): void {
  const { scenario, histories, faults, broken, perSecond } = totals;
  print(
    `${scenario}: ${histories} histories, ${faults} faults, ` +
      `${broken.length} broken, ${Math.round(perSecond)} a second`,
  );
  for (const history of broken.slice(0, MAX_PRINTED_HISTORIES)) {
    print(`  ${JSON.stringify(history)}`);
  }
}

function runAll({ seed, rounds, scenario, json }: FaultOptions): ExitStatus {
  const selected = scenarios().filter(
    ({ name }) => scenario === undefined || name === scenario,
  );
  if (selected.length === 0) {
    const names = scenarios().map(({ name }) => name);
    process.stderr.write(
      `unknown scenario "${scenario ?? ''}"; expected one of: ${names.join(', ')}\n`,
    );
    return ExitCode.usage;
  }
  const all = selected.map(entry => {
    const start = performance.now();
    const totals = runHistories(entry, seed, rounds);
    const perSecond = (rounds * 1000) / (performance.now() - start);
    return { ...totals, perSecond };
  });
  if (json) {
    print(JSON.stringify(all));
  } else {
    all.forEach(printTotals);
  }
  return all.every(totals => totals.broken.length === 0)
    ? ExitCode.success
    : ExitCode.failure;
}

function runFaults(rawOptions: unknown): ExitStatus {
  const parsed = optionsSchema.safeParse(rawOptions);
  if (!parsed.success) {
    process.stderr.write(`${z.prettifyError(parsed.error)}\n`);
    return ExitCode.usage;
  }
  const { page } = parsed.data;
  return page === undefined ? runAll(parsed.data) : writePage(page);
}

export class FaultsCommand extends Command {
  override register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void {
    cli
      .command(
        'faults',
        'Run seeded histories with injected faults and check their invariants',
      )
      .option('--seed <number>', 'Seed of the first history', { default: 1 })
      .option('--rounds <number>', 'Number of histories of each scenario', {
        default: 1000,
      })
      .option('--scenario <name>', 'Run this scenario only')
      .option('--page <file>', 'Write the fault matrix to this file instead')
      .option('--json', 'Print JSON')
      .action((options: unknown) => {
        run(() => Promise.resolve(runFaults(options)));
      });
  }
}
