import { expect } from 'chai';

import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { Random } from '@sesamegrade/core/random/random';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { EventBuffer } from '@sesamegrade/core/timeline/event-buffer';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { MemoryPlatform } from '../platform-client/memory-platform';
import { SystemTimerService } from '../process/system-timer-service';
import { ConfigurationStore } from './configuration-store';
import { OperatorClient } from './operator-client';
import { OperatorServer } from './operator-server';
import { OperatorToken } from './operator-token';
import { StatusSource } from './status';
import type { FleetStatus } from './status';

const TOKEN = 'secret of the operators';
const CHANGE = { who: 'ana' };

class FixedStatus extends StatusSource {
  override status(): FleetStatus {
    const router = { id: 'r1', incarnation: 1, zone: 'a', program: '0' };
    return {
      router: { ...router, ready: true, leaving: false, upSeconds: 1 },
      process: { cpuSeconds: 1.5, memoryBytes: 2 ** 26 },
      configuration: { version: 0, storeUp: true, ignoredSettings: 0 },
      routers: [],
      endpoints: [],
      leases: [],
      outcomes: { not_run: 3 },
      controlBytesPerSecond: 12,
    };
  }
}

const backgroundTasks = new BackgroundTasks(({ error }) => {
  throw error;
});

describe('OperatorServer', () => {
  const timers = new SystemTimerService();
  const clock = new HybridClock(() => timers.wallTime());
  const events = new EventBuffer({ process: 'r1', incarnation: 1, clock });
  const platform = new MemoryPlatform(timers);
  const random = new Random(1);
  const recorder = new NoopEventRecorder();
  const routerCount = () => 1;
  const configuration = new ConfigurationReplica({
    random,
    recorder,
    routerCount,
  });
  const configurationStore = new ConfigurationStore({
    configuration,
    platform,
    timers,
    backgroundTasks,
  });
  const server = new OperatorServer({
    address: { host: '127.0.0.1', port: 0 },
    token: new OperatorToken(TOKEN),
    status: new FixedStatus(),
    configuration,
    configurationStore,
    events,
    timers,
    backgroundTasks,
  });
  let origin = '';
  let client = new OperatorClient({ origin, token: TOKEN });

  before(async () => {
    const { host, port } = await server.listen();
    origin = `http://${host}:${port}`;
    client = new OperatorClient({ origin, token: TOKEN });
    configurationStore.start();
  });

  after(async () => {
    timers.stop();
    await server.close();
  });

  async function kindOf(response: ReturnType<OperatorClient['setDefaults']>) {
    const result = await response;
    return result.ok ? result.value.kind : result.failure.kind;
  }

  it('accepts, returns and removes defaults and exceptions', async () => {
    const set = await client.setDefaults({ loadBound: 1.5 }, CHANGE);
    expect(set.ok && set.value.kind).to.equal('committed');
    const defaults = await client.defaults();
    const bound =
      defaults.ok &&
      defaults.value.settings.find(entry => entry.name === 'loadBound');
    expect(bound).to.include({ value: 1.5, builtIn: 1.25, set: true });
    const exception = {
      id: 'x1',
      scope: { kind: 'team', name: 'coop' },
      setting: 'teamLimit',
      value: 5,
      reason: 'harvest week',
    };
    expect(await kindOf(client.addException(exception, CHANGE))).to.equal(
      'committed',
    );
    expect(configuration.settings.get('teamLimit', { team: 'coop' })).to.equal(
      5,
    );
    const exceptions = await client.exceptions();
    const first = exceptions.ok ? exceptions.value.exceptions[0] : undefined;
    expect(first).to.include({ reason: 'harvest week', who: 'ana' });
    expect(await kindOf(client.removeException('x1', CHANGE))).to.equal(
      'committed',
    );
  });

  it('repeats the response of a resend, and refuses stale and invalid changes with the reason', async () => {
    const resend = { ...CHANGE, changeId: 'once' };
    const first = await client.setDefaults({ teamLimit: 9 }, resend);
    expect(await client.setDefaults({ teamLimit: 9 }, resend)).to.deep.equal(
      first,
    );
    const stale = { ...CHANGE, expected: 1 };
    const conflict = await client.setDefaults({ teamLimit: 8 }, stale);
    expect(conflict.ok && conflict.value).to.deep.include({ kind: 'conflict' });
    expect(JSON.stringify(conflict)).to.contain('"changeId":"once"');
    expect(await kindOf(client.setDefaults({ loadBound: 0 }, CHANGE))).to.equal(
      'invalid',
    );
    const noReason = {
      id: 'x',
      scope: { kind: 'team', name: 't' },
      reason: ' ',
    };
    expect(await kindOf(client.addException(noReason, CHANGE))).to.equal(
      'invalid',
    );
    expect(await kindOf(client.setDefaults({}, { who: '' }))).to.equal(
      'refused',
    );
  });

  it('returns events and the status, and refuses wrong tokens', async () => {
    events.record('configuration-applied', { configuration: 1 });
    const page = await client.timeline(0);
    expect(page.ok && page.value.events[0]?.kind).to.equal(
      'configuration-applied',
    );
    const status = await client.status();
    expect(status.ok && status.value.outcomes).to.deep.equal({ not_run: 3 });
    for (const token of ['', 'guess', `${TOKEN}x`]) {
      const other = new OperatorClient({ origin, token });
      const response = await other.status();
      expect(!response.ok && response.failure.kind).to.equal('unauthorized');
    }
  });
});
