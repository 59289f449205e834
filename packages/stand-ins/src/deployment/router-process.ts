/** Runs a router in its own process, with the program that the platform starts. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { fixedPorts } from '../http/free-port';

const PROGRAM = join('target', 'router.cjs');
const SECRET = 'peers';
/** Addresses of a router: callers, readiness, peers and metrics. */
const PORTS = 4;
/** Configured time from SIGTERM to SIGKILL unless the options say otherwise. */
const GRACE_S = 4;

/** A signal to a process that already got SIGTERM. */
export interface LaterSignal {
  readonly signal: NodeJS.Signals;
  readonly afterMs: number;
}

/**
 * What happened to a process: a signal, the end of its grace period, its exit, before that that it
 * was not loaded yet, so that SIGTERM ended it at once, or that it got no processor time for a while.
 */
export type ProcessEvent =
  | NodeJS.Signals
  | 'grace-over'
  | 'exit'
  | 'unloaded'
  | 'hold-up'
  | 'hold-up-over';

export interface RouterProcessOptions {
  readonly name: string;
  readonly folder: string;
  readonly store: string;
  /** Peer addresses of routers that started earlier. */
  readonly seeds: () => readonly string[];
  /** Node.js flags of the process. */
  readonly flags?: readonly string[];
  /** Arguments of the program after its own. */
  readonly programArguments?: readonly string[];
  /** Processor share that the router announces, which ranks it among relays. */
  readonly cpuShare?: number;
  /** Environment variables beside those of this process. */
  readonly environment?: () => Readonly<Record<string, string>>;
  /** Whether the first start of the process is the fleet's first one. */
  readonly isFirstStart?: boolean;
  readonly graceSeconds?: number;
  /** Memory of the VM in the settings, in MiB. */
  readonly memoryMb?: number;
  /** The processor core on which the process runs; any if undefined. */
  readonly core?: number;
  readonly onEvent?: (event: ProcessEvent) => void;
}

export class RouterProcess {
  readonly #options: RouterProcessOptions;
  #ports: readonly number[] = [];
  #process: ChildProcess | undefined;
  #restarts: Promise<void> = Promise.resolve();
  readonly #expectedExits = new WeakSet<ChildProcess>();
  readonly #unexpectedExits: string[] = [];

  constructor(options: RouterProcessOptions) {
    this.#options = options;
  }

  get name(): string {
    return this.#options.name;
  }

  get callerAddress(): string {
    return `127.0.0.1:${this.#ports[0] ?? 0}`;
  }

  /** Address of the readiness check. */
  get readyAddress(): string {
    return `127.0.0.1:${this.#ports[1] ?? 0}`;
  }

  get metricsAddress(): string {
    return `127.0.0.1:${this.#ports[3] ?? 0}`;
  }

  get peerAddress(): string {
    return `127.0.0.1:${this.#ports[2] ?? 0}`;
  }

  /** Process id; undefined while the process is not running. */
  get pid(): number | undefined {
    return this.#process?.pid;
  }

  /** Exit codes and signals with which the process ended although nobody ended it. */
  get unexpectedExits(): readonly string[] {
    return this.#unexpectedExits;
  }

  async open(): Promise<void> {
    await this.reservePorts();
    this.start();
  }

  /** Chooses the addresses, for routers that must know each other's before they start. */
  async reservePorts(): Promise<void> {
    this.#ports = await fixedPorts(PORTS);
  }

  start(): void {
    const { name, folder, flags, programArguments, environment, core } =
      this.#options;
    const file = join(folder, `${name}.ini`);
    writeFileSync(file, this.#settings());
    const command = [
      ...(core === undefined ? [] : ['taskset', '--cpu-list', String(core)]),
      process.execPath,
      ...(flags ?? []),
      PROGRAM,
      '--callers',
      this.callerAddress,
      ...(programArguments ?? []),
    ];
    const child = spawn(command[0] ?? process.execPath, command.slice(1), {
      env: {
        ...process.env,
        ...environment?.(),
        SESAMEGRADE_CONFIG: file,
        SESAMEGRADE_PEER_SECRET: SECRET,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const reader of [child.stdout, child.stderr]) {
      reader.on('data', (output: Buffer) => {
        appendFileSync(join(folder, `${name}.log`), output);
      });
    }
    child.once('exit', (code, signal) => {
      if (!this.#expectedExits.has(child)) {
        this.#unexpectedExits.push(signal ?? `exit code ${code ?? 0}`);
      }
    });
    this.#process = child;
  }

  /** Lets the reader of what the process writes stall for a time in ms. */
  async stallLogReader(durationMs: number): Promise<void> {
    const child = this.#process;
    child?.stdout?.pause();
    child?.stderr?.pause();
    await pause(durationMs);
    child?.stdout?.resume();
    child?.stderr?.resume();
  }

  /** Closes the reader of what the process writes until its end. */
  closeLogReader(): void {
    this.#process?.stdout?.destroy();
    this.#process?.stderr?.destroy();
  }

  sendSignal(signal: NodeJS.Signals): void {
    if (this.#process?.kill(signal) === true) {
      this.#options.onEvent?.(signal);
    }
  }

  /** Keeps the process from running for a time in ms, as a busy machine does. */
  async holdUp(durationMs: number): Promise<void> {
    const child = this.#process;
    if (child?.kill('SIGSTOP') !== true) {
      return;
    }
    this.#options.onEvent?.('hold-up');
    await pause(durationMs);
    child.kill('SIGCONT');
    this.#options.onEvent?.('hold-up-over');
  }

  /**
   * Ends the process with a signal and starts it again, after earlier restarts have finished.
   * As on the platform, a process that got SIGTERM is killed when its grace period is over.
   */
  restart(
    signal: 'SIGTERM' | 'SIGKILL',
    laterSignals: readonly LaterSignal[] = [],
  ): Promise<void> {
    this.#restarts = this.#restarts.then(async () => {
      await this.#end(signal, laterSignals);
      this.start();
    });
    return this.#restarts;
  }

  /** Resolves when the process has ended by itself. */
  async waitForExit(): Promise<void> {
    if (this.#process?.exitCode === null) {
      await once(this.#process, 'exit');
    }
  }

  async close(): Promise<void> {
    await this.#restarts;
    this.sendSignal('SIGCONT');
    await this.#end('SIGKILL');
  }

  async #end(
    signal: NodeJS.Signals,
    laterSignals: readonly LaterSignal[] = [],
  ): Promise<void> {
    const child = this.#process;
    if (child?.exitCode !== null || child.signalCode !== null) {
      return;
    }
    this.#expectedExits.add(child);
    const exit = once(child, 'exit');
    this.sendSignal(signal);
    const timers = laterSignals.map(later =>
      setTimeout(() => {
        this.sendSignal(later.signal);
      }, later.afterMs),
    );
    if (signal === 'SIGTERM') {
      const kill = () => {
        this.#options.onEvent?.('grace-over');
        child.kill('SIGKILL');
      };
      timers.push(setTimeout(kill, this.#graceSeconds * 1000));
    }
    const [, exitSignal] = (await exit) as [unknown, NodeJS.Signals | null];
    if (exitSignal === 'SIGTERM') {
      this.#options.onEvent?.('unloaded');
    }
    timers.forEach(timer => {
      clearTimeout(timer);
    });
    this.#options.onEvent?.('exit');
  }

  get #graceSeconds(): number {
    return this.#options.graceSeconds ?? GRACE_S;
  }

  #settings(): string {
    const [callers, ready, peers, metrics] = this.#ports;
    const { name, store, seeds, cpuShare, isFirstStart, memoryMb } =
      this.#options;
    return `[router]
id = ${name}
zone = zone-a
callers = 127.0.0.1:${callers}
ready = 127.0.0.1:${ready}
peers = 127.0.0.1:${peers}
metrics_port = ${metrics}
cpu_share = ${cpuShare ?? 1}
first_start = ${isFirstStart === true && !this.#process}
memory_mb = ${memoryMb ?? ''}
[peers]
seeds = ${seeds().join(',')}
[store]
address = ${store}
answer_ms = 500
[stop]
grace_seconds = ${this.#graceSeconds}
[retries]
ratio = 0.2
window_seconds = 10
slack = 126
`;
  }
}
