import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

import { expect } from 'chai';

import { newRouterSettings } from './testing/router-settings';

const PROGRAM = join(import.meta.dirname, 'platform-router.ts');

/** Time from the signal to the kill of a process, and for which it is held up before it handles the signal. */
const GRACE_MS = 6000;
const HOLD_UP_MS = 4000;

interface RouterLogLine {
  readonly message: string;
  readonly cause?: string;
  readonly heldUp?: number;
  readonly applied?: readonly { readonly key: string }[];
}

describe('platform-router', () => {
  let folder: string;
  let program: ChildProcess | undefined;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'router-'));
  });

  afterEach(async () => {
    program?.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });

  it('reloads its settings on SIGHUP without exiting, logs the changed keys and exits with 0 on SIGTERM', async () => {
    const file = join(folder, 'router.ini');
    const settings = await newRouterSettings();
    await writeFile(file, settings.text(126));
    program = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
      env: { ...process.env, SESAMEGRADE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exit = once(program, 'exit');
    const lines = createInterface({ input: program.stdout! });
    const logLines: RouterLogLine[] = [];
    for await (const lineText of lines) {
      const line = JSON.parse(lineText) as RouterLogLine;
      logLines.push(line);
      if (line.message === 'start') {
        await writeFile(file, settings.text(50));
        program.kill('SIGHUP');
      } else if (line.message === 'settings' && line.cause === 'signal') {
        program.kill('SIGTERM');
      }
    }
    expect(await exit).to.deep.equal([0, null]);
    const reload = logLines.find(({ cause }) => cause === 'signal');
    expect(reload?.applied?.map(({ key }) => key)).to.deep.equal(['slack']);
  });

  // Guards against requests that are cut off as a second signal ends the process at once.
  it('begins to stop at SIGINT too, and goes on stopping at a second signal', async () => {
    const file = join(folder, 'router.ini');
    const settings = await newRouterSettings();
    await writeFile(file, settings.text(126));
    program = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
      env: { ...process.env, SESAMEGRADE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exit = once(program, 'exit');
    const messages: string[] = [];
    for await (const lineText of createInterface({ input: program.stdout! })) {
      const { message } = JSON.parse(lineText) as RouterLogLine;
      messages.push(message);
      if (message === 'start') {
        program.kill('SIGINT');
      } else if (message === 'stop-begun') {
        program.kill('SIGTERM');
        program.kill('SIGINT');
      }
    }
    expect(await exit).to.deep.equal([0, null]);
    expect(messages).to.include('stop');
  });

  // Guards against a stop that outlasts the grace period, as the process was held up when it was told to stop.
  it('ends in the grace period of a signal that it could handle only later', async () => {
    const file = join(folder, 'router.ini');
    const settings = await newRouterSettings();
    await writeFile(file, settings.text(126, GRACE_MS / 1000));
    program = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
      env: { ...process.env, SESAMEGRADE_CONFIG: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const { pid } = program;
    const exit = once(program, 'exit');
    const logLines: RouterLogLine[] = [];
    for await (const text of createInterface({ input: program.stdout! })) {
      const line = JSON.parse(text) as RouterLogLine;
      logLines.push(line);
      if (line.message === 'start') {
        process.kill(pid!, 'SIGSTOP');
        process.kill(pid!, 'SIGTERM');
        setTimeout(() => process.kill(pid!, 'SIGCONT'), HOLD_UP_MS);
        setTimeout(() => program?.kill('SIGKILL'), GRACE_MS).unref();
      }
    }
    expect(await exit).to.deep.equal([0, null]);
    const begun = logLines.find(({ message }) => message === 'stop-begun');
    expect(begun?.heldUp).to.be.greaterThan(HOLD_UP_MS / 2);
  });
});
