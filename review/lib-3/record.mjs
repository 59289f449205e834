/** Writes what a run sent, answered and did, and ends the run with its result. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

import { endAll } from './deployment.mjs';

export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;
/** Below the 120 s that a script may take. */
const LONGEST_RUN_MS = 110_000;

/** Whether the run plays the disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

export class Record {
  #file;
  #lines = [];
  #begin = performance.now();

  constructor(folder) {
    this.#file = join('review', folder, 'record.txt');
  }

  write(text) {
    const at = ((performance.now() - this.#begin) / 1000).toFixed(3);
    this.#lines.push(`${at.padStart(8)} ${text}`);
  }

  save() {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}

/** Runs a case, which resolves with its result, and exits with that. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  record.write(isTroubled ? 'with the disruption' : 'without the disruption');
  let result = NOT_RUN;
  const finish = () => {
    endAll();
    record.write(`result ${result}`);
    record.save();
    process.exit(result);
  };
  setTimeout(() => {
    record.write('the run took too long');
    finish();
  }, LONGEST_RUN_MS).unref();
  try {
    result = await play(record);
  } catch (error) {
    record.write(`not run: ${error instanceof Error ? error.stack : error}`);
  }
  finish();
}
