/** Collects the status of this router for operators. */
import type { EndpointMember } from '@sesamegrade/core/membership/endpoint-table';
import { LoadBound } from '@sesamegrade/core/placement/load-bound';
import type { Target } from '@sesamegrade/core/requests/types';
import { chatId, serviceId } from '@sesamegrade/core/types/ids';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Cradle } from '../composition/cradle';
import { StatusSource } from './status';
import type { FleetStatus } from './status';

type StatusComponents = Pick<
  Cradle,
  | 'settings'
  | 'identity'
  | 'timers'
  | 'routers'
  | 'endpoints'
  | 'peers'
  | 'configuration'
  | 'configurationTopic'
  | 'readiness'
  | 'counters'
  | 'controlMeter'
  | 'logOutput'
  | 'loads'
  | 'detector'
  | 'pools'
  | 'policy'
  | 'engineCommandRunner'
>;

const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

export class RouterStatus extends StatusSource {
  readonly #components: StatusComponents;
  readonly #startedAt: Instant;

  constructor(components: StatusComponents) {
    super();
    this.#components = components;
    this.#startedAt = components.timers.now();
  }

  override status(): FleetStatus {
    const { controlMeter } = this.#components;
    return {
      router: this.#router(),
      process: this.#process(),
      configuration: this.#configuration(),
      routers: this.#routers(),
      endpoints: this.#endpoints(),
      leases: this.#leases(),
      outcomes: this.#outcomes(),
      controlBytesPerSecond: Math.round(controlMeter.bytesPerSecond),
    };
  }

  #process(): FleetStatus['process'] {
    const { user, system } = process.cpuUsage();
    return {
      cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
      memoryBytes: process.memoryUsage.rss(),
      logLinesDropped: this.#components.logOutput.dropped,
    };
  }

  #router(): FleetStatus['router'] {
    const { settings, identity, routers, readiness, timers } = this.#components;
    return {
      id: settings.router.id,
      incarnation: identity.incarnation,
      zone: settings.router.zone,
      program: identity.program,
      ready: readiness.ready,
      leaving: routers.isLeaving,
      upSeconds: Math.round((timers.now() - this.#startedAt) / MS_PER_SECOND),
    };
  }

  #configuration(): FleetStatus['configuration'] {
    const { configuration } = this.#components;
    const { problem } = configuration;
    return {
      version: configuration.version,
      storeUp: configuration.isStoreAvailable,
      ...(problem ? { problem: JSON.stringify(problem) } : {}),
      ignoredSettings: configuration.settings.ignoredCount,
    };
  }

  #routers(): FleetStatus['routers'] {
    const { routers, peers, configurationTopic } = this.#components;
    const connected = new Set(peers.connectedPeers);
    const versions = configurationTopic.peerVersions();
    return routers.peers().map(row => {
      const version = versions.get(row.id);
      return {
        id: row.id,
        zone: row.zone,
        phase: row.phase,
        connected: connected.has(row.id),
        ...(version === undefined ? {} : { configuration: version }),
      };
    });
  }

  #endpoints(): FleetStatus['endpoints'] {
    const now = this.#components.timers.now();
    const bounds = this.#bounds(now);
    return [...this.#components.endpoints.rows()].map(row => {
      const ejected = !this.#components.detector.accepts(row.id);
      const why = row.cause ?? (ejected ? 'ejected for its health' : undefined);
      return {
        id: row.id,
        zone: row.zone,
        serving: servingText(row),
        phase: row.phase,
        load: round(this.#components.loads.estimate(row.id, now)),
        bound: bounds.get(row.id) ?? 0,
        capacity: row.capacity,
        ejected,
        ...(why === undefined ? {} : { why }),
      };
    });
  }

  /** Current load bound of each endpoint, in requests. */
  #bounds(now: Instant): Map<EndpointId, number> {
    const { pools, policy } = this.#components;
    const bounds = new Map<EndpointId, number>();
    for (const target of this.#targets()) {
      const candidates = pools.candidates(target, now);
      const loadBound = new LoadBound(policy.bound(target), candidates);
      for (const candidate of candidates) {
        bounds.set(candidate.id, loadBound.limit(candidate));
      }
    }
    return bounds;
  }

  *#targets(): Generator<Target> {
    for (const { serving } of this.#components.endpoints.rows()) {
      if (serving.kind === 'service') {
        const { service } = serving;
        yield { kind: 'call', service, repeatable: true, key: undefined };
        continue;
      }
      for (const model of serving.models) {
        yield { kind: 'chat', model, chat: chatId('') };
      }
    }
  }

  #leases(): FleetStatus['leases'] {
    const { engineCommandRunner, routers } = this.#components;
    return [...engineCommandRunner.heldLeases].map(([id, fence]) => ({
      id,
      holder: routers.self.id,
      fence,
    }));
  }

  #outcomes(): FleetStatus['outcomes'] {
    const { accepted, finished, refused, outcomes } =
      this.#components.counters.totals;
    const refusals: Record<string, number> = {};
    for (const [reason, count] of Object.entries(refused)) {
      refusals[`refused.${reason}`] = count;
    }
    const byOutcome: Record<string, number> = {};
    for (const [outcome, count] of Object.entries(outcomes)) {
      byOutcome[`told.${outcome}`] = count;
    }
    return { accepted, finished, ...refusals, ...byOutcome };
  }
}

function servingText({ serving }: EndpointMember): string {
  return serving.kind === 'engine'
    ? serving.models.join(', ')
    : serviceId(serving.service);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
