import { spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { once } from 'node:events';
import { openSync } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

import { expect } from 'chai';
import { request } from 'undici';

import { newRouterSettings } from './testing/router-settings';
import type { RouterSettings } from './testing/router-settings';

const PROGRAM = join(import.meta.dirname, 'platform-router.ts');
const POLL_MS = 20;
const MORE_THAN_A_PIPE_HOLDS = 4_194_304;

describe('platform-router, standard output', () => {
  let folder: string;
  let settings: RouterSettings;
  let program: ChildProcess;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'router-'));
    settings = await newRouterSettings();
  });

  afterEach(async () => {
    program.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });

  async function start(stdio: StdioOptions): Promise<void> {
    const file = join(folder, 'router.ini');
    await writeFile(file, settings.text(126));
    program = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
      env: { ...process.env, SESAMEGRADE_CONFIG: file },
      stdio,
    });
    while (!hasEnded()) {
      try {
        await metric('log_lines_dropped');
        return;
      } catch {
        await pause(POLL_MS);
      }
    }
  }

  function hasEnded(): boolean {
    return program.exitCode !== null || program.signalCode !== null;
  }

  /** The value of a metric of the router. */
  async function metric(name: string): Promise<number> {
    const { body } = await request(
      `http://127.0.0.1:${settings.metricsPort}/metrics`,
    );
    const found = new RegExp(`^\\S*${name} (\\d+)`, 'mu').exec(
      await body.text(),
    );
    return Number(found?.[1]);
  }

  /** Logs lines until some are dropped. */
  async function logUntilDropped(): Promise<void> {
    while ((await metric('log_lines_dropped')) === 0) {
      program.kill('SIGHUP');
      await pause(POLL_MS);
    }
  }

  /** A caller gets an answer: without the store's configuration a refusal. */
  async function expectAnswered(): Promise<void> {
    const response = await request(
      `http://127.0.0.1:${settings.callersPort}/lookup/1`,
      { method: 'POST', headers: { 'sesamegrade-request-id': 'request-1' } },
    );
    await response.body.dump();
    expect(response.statusCode).to.equal(503);
  }

  async function expectStopped(): Promise<void> {
    const exit = once(program, 'exit');
    program.kill('SIGTERM');
    expect(await exit).to.deep.equal([0, null]);
  }

  for (const closed of ['standard output', 'both outputs']) {
    // Guards against a router that ends, with all its requests, when the reader of its log closes.
    it(`goes on serving and counts its lines when the reader of ${closed} closes`, async () => {
      await start(['ignore', 'pipe', 'pipe']);
      program.stdout?.destroy();
      if (closed === 'both outputs') {
        program.stderr?.destroy();
      }
      await logUntilDropped();
      await expectAnswered();
      await expectStopped();
    });
  }

  // Guards against a router that ends, with all its requests, when the disk of its log is full.
  it('goes on serving and counts its lines while the disk of its log is full', async () => {
    await start(['ignore', openSync('/dev/full', 'w'), 'inherit']);
    program.kill('SIGHUP');
    await expectAnswered();
    program.kill('SIGHUP');
    await expectAnswered();
    await expectStopped();
  });

  // Guards against a router that does not end at a stop, as the reader of its log has stalled.
  it('goes on serving and stops while the reader of its log stalls', async () => {
    const reader = spawn('sleep', ['60'], {
      stdio: ['pipe', 'ignore', 'inherit'],
    });
    try {
      // The part that the pipe does not hold stays in this process.
      reader.stdin.write('x'.repeat(MORE_THAN_A_PIPE_HOLDS));
      await start(['ignore', reader.stdin, 'inherit']);
      program.kill('SIGHUP');
      await expectAnswered();
      await expectStopped();
    } finally {
      reader.stdin.destroy();
      reader.kill('SIGKILL');
    }
  });
});
