import { execFile } from 'node:child_process';

import { expect } from 'chai';

import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { Random } from '@sesamegrade/core/random/random';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { ConfigurationStore } from '@sesamegrade/router/operators/configuration-store';
import { OperatorServer } from '@sesamegrade/router/operators/operator-server';
import { OperatorToken } from '@sesamegrade/router/operators/operator-token';
import { StatusSource } from '@sesamegrade/router/operators/status';
import type { FleetStatus } from '@sesamegrade/router/operators/status';
import { MemoryPlatform } from '@sesamegrade/router/platform-client/memory-platform';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';

const TOKEN = 'operators';
const MAIN = new URL('../main.ts', import.meta.url).pathname;

class FixedStatus extends StatusSource {
  override status(): FleetStatus {
    const router = { id: 'r1', incarnation: 1, zone: 'zone-a', program: '0' };
    const engine = { id: 'engine-7', zone: 'zone-a', serving: 'draft' };
    const load = { load: 3.2, bound: 5, capacity: 8, ejected: true };
    return {
      router: { ...router, ready: true, leaving: false, upSeconds: 1 },
      process: { cpuSeconds: 1.5, memoryBytes: 2 ** 26 },
      configuration: { version: 4, storeUp: false, ignoredSettings: 0 },
      routers: [{ id: 'r2', zone: 'zone-b', phase: 'live', connected: true }],
      endpoints: [{ ...engine, ...load, phase: 'live', why: 'slow answers' }],
      leases: [{ id: 'draft', holder: 'r2', fence: 7, expiresInMs: 900 }],
      outcomes: { not_run: 3 },
      controlBytesPerSecond: 12,
    };
  }
}

interface CommandResult {
  readonly code: number | string;
  readonly output: string;
}

function sesamegrade(...args: string[]): Promise<CommandResult> {
  const env = { ...process.env, TOKEN };
  return new Promise(resolve => {
    execFile(
      process.execPath,
      ['--import', 'tsx', MAIN, ...args],
      { env },
      (error, stdout, stderr) => {
        resolve({ code: error?.code ?? 0, output: stdout + stderr });
      },
    );
  });
}

const backgroundTasks = new BackgroundTasks(({ error }) => {
  throw error;
});

describe('operator commands', () => {
  const timers = new SystemTimerService();
  const clock = new HybridClock(() => timers.wallTime());
  const events = new EventBuffer({ process: 'r1', incarnation: 1, clock });
  const replica = new ConfigurationReplica({
    random: new Random(1),
    recorder: events,
    routerCount: () => 1,
  });
  const platform = new MemoryPlatform(timers);
  const store = new ConfigurationStore({
    configuration: replica,
    platform,
    timers,
    backgroundTasks,
  });
  const server = new OperatorServer({
    address: { host: '127.0.0.1', port: 0 },
    token: new OperatorToken(TOKEN),
    status: new FixedStatus(),
    configuration: replica,
    configurationStore: store,
    events,
    timers,
    backgroundTasks,
  });
  let origin = '';

  before(async () => {
    const { host, port } = await server.listen();
    origin = `http://${host}:${port}`;
    store.start();
  });

  after(async () => {
    timers.stop();
    await server.close();
  });

  function runOperatorCommand(...args: string[]): Promise<CommandResult> {
    return sesamegrade(...args, '--operator', origin, '--token-env', 'TOKEN');
  }

  it('prints the fleet status, and exits with the documented codes for usage errors and unreachable routers', async () => {
    const [shown, usage, unreachable] = await Promise.all([
      runOperatorCommand('status'),
      runOperatorCommand('defaults', 'alter'),
      sesamegrade(
        ...['status', '--operator', 'http://127.0.0.1:9'],
        ...['--token-env', 'TOKEN'],
      ),
    ]);
    expect(shown.code).to.equal(0);
    expect(shown.output).to.match(
      /engine-7 .*ejected .*3\.2\/5\.0 .*slow answers/,
    );
    expect(shown.output).to.contain('version 4, store unreachable');
    expect(usage.code).to.equal(2);
    expect(unreachable.code).to.equal(4);
  });

  it('changes defaults and exceptions, rejects outdated and invalid changes, and shows the accepted change on the timeline', async () => {
    const change = await runOperatorCommand(
      'defaults',
      'set',
      'loadBound=1.5',
      '--who',
      'ana',
    );
    expect(change).to.deep.equal({
      code: 0,
      output: 'accepted as version 1\n',
    });
    const [outdated, invalid, added] = await Promise.all([
      runOperatorCommand('defaults', 'set', 'loadBound=2', '--expected', '0'),
      runOperatorCommand('defaults', 'set', 'loadBound=wide'),
      runOperatorCommand(
        ...['exceptions', 'add', 'harvest', '--scope', 'team:coop'],
        ...[
          '--setting',
          'teamLimit',
          '--value',
          '5',
          '--reason',
          'harvest week',
        ],
      ),
    ]);
    expect(outdated.code).to.equal(5);
    expect(invalid.code).to.equal(3);
    expect(added.code).to.equal(0);
    const [list, defaults, page] = await Promise.all([
      runOperatorCommand('exceptions', 'list'),
      runOperatorCommand('defaults', 'show', '--json'),
      sesamegrade(
        ...['timeline', '--routers', origin, '--token-env', 'TOKEN'],
        ...['--configuration', '1', '--format', 'html'],
      ),
    ]);
    expect(list.output).to.contain('teamLimit = 5  "harvest week"');
    expect(defaults.output).to.contain('"name":"loadBound","value":1.5');
    expect(page.output).to.contain('configuration-accepted');
    expect(page.output).to.contain('who=ana');
  });
});
