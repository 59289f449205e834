/** Gathers what this router tells an operator. */
import type { EndpointMember } from '@sesamegrade/core/membership/endpoint-table';
import { LoadBound } from '@sesamegrade/core/placement/load-bound';
import type { Target } from '@sesamegrade/core/requests/types';
import { chatId, serviceId } from '@sesamegrade/core/types/ids';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import type { Cradle } from '../composition/cradle';
import { StatusSource } from './status';
import type { FleetStatus } from './status';

type Parts = Pick<
  Cradle,
  | 'settings'
  | 'identity'
  | 'timers'
  | 'routers'
  | 'endpoints'
  | 'peers'
  | 'keeper'
  | 'configurationTopic'
  | 'readiness'
  | 'counters'
  | 'controlMeter'
  | 'loads'
  | 'detector'
  | 'pools'
  | 'policy'
  | 'engineOrderDesk'
>;

const MS_PER_SECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

export class RouterStatus extends StatusSource {
  readonly #parts: Parts;
  readonly #startedAt: Instant;

  constructor(parts: Parts) {
    super();
    this.#parts = parts;
    this.#startedAt = parts.timers.now();
  }

  override status(): FleetStatus {
    const { controlMeter } = this.#parts;
    return {
      router: this.#router(),
      process: processCost(),
      configuration: this.#configuration(),
      routers: this.#routers(),
      endpoints: this.#endpoints(),
      leases: this.#leases(),
      outcomes: this.#outcomes(),
      controlBytesPerSecond: Math.round(controlMeter.bytesPerSecond),
    };
  }

  #router(): FleetStatus['router'] {
    const { settings, identity, routers, readiness, timers } = this.#parts;
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
    const { keeper } = this.#parts;
    const { problem } = keeper;
    return {
      version: keeper.version,
      storeUp: keeper.isStoreAvailable,
      ...(problem ? { problem: JSON.stringify(problem) } : {}),
      ignoredSettings: keeper.settings.ignoredCount,
    };
  }

  #routers(): FleetStatus['routers'] {
    const { routers, peers, configurationTopic } = this.#parts;
    const connected = new Set(peers.connected);
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
    const now = this.#parts.timers.now();
    const bounds = this.#bounds(now);
    return [...this.#parts.endpoints.rows()].map(row => {
      const ejected = !this.#parts.detector.accepts(row.id);
      const why = row.cause ?? (ejected ? 'ejected for its health' : undefined);
      return {
        id: row.id,
        zone: row.zone,
        serving: servingText(row),
        phase: row.phase,
        load: round(this.#parts.loads.estimate(row.id, now)),
        bound: bounds.get(row.id) ?? 0,
        capacity: row.capacity,
        ejected,
        ...(why === undefined ? {} : { why }),
      };
    });
  }

  /** Most requests that each endpoint takes at present. */
  #bounds(now: Instant): Map<EndpointId, number> {
    const { pools, policy } = this.#parts;
    const bounds = new Map<EndpointId, number>();
    for (const target of this.#targets()) {
      const candidates = pools.candidates(target, now);
      const limits = new LoadBound(policy.bound(target), candidates);
      for (const candidate of candidates) {
        bounds.set(candidate.id, limits.limit(candidate));
      }
    }
    return bounds;
  }

  *#targets(): Generator<Target> {
    for (const { serving } of this.#parts.endpoints.rows()) {
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
    const { engineOrderDesk, routers } = this.#parts;
    return [...engineOrderDesk.held].map(([id, fence]) => ({
      id,
      holder: routers.self.id,
      fence,
    }));
  }

  #outcomes(): FleetStatus['outcomes'] {
    const { accepted, finished, refused, outcomes } =
      this.#parts.counters.totals;
    const refusals: Record<string, number> = {};
    for (const [reason, count] of Object.entries(refused)) {
      refusals[`refused.${reason}`] = count;
    }
    const told: Record<string, number> = {};
    for (const [outcome, count] of Object.entries(outcomes)) {
      told[`told.${outcome}`] = count;
    }
    return { accepted, finished, ...refusals, ...told };
  }
}

function processCost(): FleetStatus['process'] {
  const { user, system } = process.cpuUsage();
  return {
    cpuSeconds: (user + system) / MICROSECONDS_PER_SECOND,
    memoryBytes: process.memoryUsage.rss(),
  };
}

function servingText({ serving }: EndpointMember): string {
  return serving.kind === 'engine'
    ? serving.models.join(', ')
    : serviceId(serving.service);
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
