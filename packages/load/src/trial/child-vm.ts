/** A process of the fleet of a process trial; it plays the part of a VM. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

import { z } from 'zod';

const CLOCK_TICKS_PER_SECOND = 100;
const START_TIMEOUT_MS = 30_000;
const STOP_TIMEOUT_MS = 20_000;

const addressSchema = z.object({ host: z.string(), port: z.number() });

/** The JSON line that a stand-in or a router prints once it listens. */
const announcementSchema = z.looseObject({
  host: z.string().optional(),
  port: z.number().optional(),
  controlPort: z.number().optional(),
  callers: addressSchema.optional(),
  peers: addressSchema.optional(),
  operators: addressSchema.optional(),
});

export type Announcement = z.infer<typeof announcementSchema>;

/** How to start the program: the executable, and the arguments that precede those of the program. */
export interface Program {
  readonly file: string;
  readonly args: readonly string[];
}

/** Runs the program from its source; requires the repository's root as the working directory. */
export const SOURCE_PROGRAM: Program = {
  file: process.execPath,
  args: ['--import', 'tsx', 'packages/cli/src/main.ts'],
};

export class ChildVm {
  readonly announcement: Announcement;
  readonly #child: ChildProcess;
  readonly #exit: Promise<number | undefined>;

  private constructor(child: ChildProcess, announcement: Announcement) {
    this.#child = child;
    this.announcement = announcement;
    this.#exit = exitOf(child);
  }

  /** Starts a process and resolves when it has announced its address; rejects with its last error output otherwise. */
  static async start(
    program: Program,
    args: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): Promise<ChildVm> {
    const child = spawn(program.file, [...program.args, ...args], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let errorOutput = '';
    child.stderr.on('data', (chunk: Buffer) => {
      errorOutput = (errorOutput + chunk.toString()).slice(-2000);
    });
    const exited = exitOf(child).then(() => undefined);
    const line = await Promise.race([firstLine(child), exited]);
    const announcement = announcementSchema.safeParse(parseLine(line));
    if (!announcement.success) {
      child.kill('SIGKILL');
      throw new Error(
        `${args.join(' ')} exited, or announced no address within ${START_TIMEOUT_MS} ms: ${errorOutput}`,
      );
    }
    return new ChildVm(child, announcement.data);
  }

  /** Whether the process still runs. */
  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Processor time used since the start, in seconds; reads /proc, so Linux only. */
  cpuSeconds(): number {
    const stat = readFileSync(`/proc/${this.#child.pid ?? 0}/stat`, 'utf8');
    // The process name in parentheses may contain spaces; user and system time follow it.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
  }

  /** Sends SIGTERM, and SIGKILL after `STOP_TIMEOUT_MS`; returns the exit code, undefined if killed. */
  async stop(): Promise<number | undefined> {
    const timer = setTimeout(
      () => this.#child.kill('SIGKILL'),
      STOP_TIMEOUT_MS,
    );
    this.#child.kill('SIGTERM');
    try {
      return await this.#exit;
    } finally {
      clearTimeout(timer);
    }
  }

  /** Kills the process with SIGKILL. */
  async kill(): Promise<void> {
    this.#child.kill('SIGKILL');
    await this.#exit;
  }
}

async function exitOf(child: ChildProcess): Promise<number | undefined> {
  const [code] = (await once(child, 'exit')) as [number | null];
  return code ?? undefined;
}

async function firstLine(child: ChildProcess): Promise<string | undefined> {
  if (!child.stdout) {
    return undefined;
  }
  const lines = createInterface({ input: child.stdout });
  const signal = AbortSignal.timeout(START_TIMEOUT_MS);
  try {
    const [line] = (await once(lines, 'line', { signal })) as [string];
    return line;
  } catch {
    return undefined;
  }
}

function parseLine(line: string | undefined): unknown {
  try {
    return JSON.parse(line ?? '') as unknown;
  } catch {
    return undefined;
  }
}
