/**
 * Finds out where a stream began by a read of the store that begins after the call: this
 * router's own, or one of a relay that it asks. It covers the configuration as well.
 */
import { z } from 'zod';

import { nameSchema } from '@sesamegrade/core/membership/vm-entry';
import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { RouteHistory } from '@sesamegrade/core/routes/route-history';
import type { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type {
  StreamOrigins,
  StreamSource,
} from '@sesamegrade/core/software-versions/stream-origins';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import {
  comparePositions,
  revision,
  storeEra,
} from '@sesamegrade/core/store/feed-position';
import { pause } from '@sesamegrade/core/time/pause';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { withTimeout } from '@sesamegrade/core/time/with-timeout';
import {
  routerId,
  serviceId,
  softwareVersion,
  streamKey,
} from '@sesamegrade/core/types/ids';
import type {
  RouterId,
  ServiceId,
  SoftwareVersion,
  StreamKey,
} from '@sesamegrade/core/types/ids';
import { elapsed, milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import type { PeerMesh } from '../peers/peer-mesh';
import type { ConfigurationConfirmation } from '../store/configuration-confirmation';
import {
  defaultsDocument,
  defaultsSchema,
  listOf,
  NO_LIST,
} from './origin-row';
import type { OriginTable } from './origin-table';

/** Time for the answer of the store after which the relays are asked as well. */
const OWN_READ_TIME: Milliseconds = milliseconds(60);

/** Time for the answer of the store after which a relay answers by the reports of routers. */
const RELAY_READ_TIME: Milliseconds = milliseconds(150);
/** Times that a relay looks for a report: a router sends that of a stream up to 400 ms late. */
const RELAY_LOOKS = 4;
/** Time after which the relays are asked once more if no answer has come, as a connection may be new by then. */
const RETRY_DELAY: Milliseconds = milliseconds(150);

/** Who read the store. */
export type OriginReader = 'store' | 'peer';

/** What the store shows of a stream, or the report of a router that relayed it. */
export type FoundOrigin =
  /** A router reports its streams to the relays while the store does not answer. */
  | { readonly kind: 'recorded' | 'reported'; readonly source: StreamSource }
  /** It has no record, and began at the version unless that is undefined. */
  | {
      readonly kind: 'unrecorded';
      readonly version: SoftwareVersion | undefined;
    };

/** A stream that a caller resumes. */
export interface OriginQuery {
  /** Undefined if the caller does not name the request that began it. */
  readonly key: StreamKey | undefined;
  /** The service at which it began unless it is recorded; undefined if that is not certain. */
  readonly service: ServiceId | undefined;
  /** Time for which its caller will still wait; undefined if the caller does not say. */
  readonly remaining?: Milliseconds | undefined;
}

export interface ConfirmedOrigin {
  readonly reader: OriginReader;
  readonly origin: FoundOrigin;
}

const querySchema = z.object({
  key: nameSchema.nullable(),
  service: nameSchema.nullable(),
  /** In ms; older builds name none. */
  remaining: z.number().min(0).optional(),
});

const reportSchema = z.object({
  kind: z.literal('reported'),
  service: nameSchema.nullable(),
  version: nameSchema.nullable(),
});

const answerSchema = z.object({
  kind: z.enum(['recorded', 'unrecorded']),
  service: nameSchema.nullable(),
  version: nameSchema.nullable(),
  /** Position in the store that the read reached. */
  era: z.int().min(0),
  revision: z.int().min(0),
  /** The list of default versions, and the store's time in ms. */
  list: defaultsSchema.optional(),
  storeTime: z.number(),
});

interface RouterSettings {
  readonly router: Pick<GatewaySettings['router'], 'id'>;
}

export interface OriginConfirmationOptions {
  readonly settings: RouterSettings;
  readonly originTable: Pick<
    OriginTable,
    'read' | 'position' | 'list' | 'storeTime'
  >;
  readonly streamOrigins: StreamOrigins;
  readonly defaultVersions: DefaultVersions;
  readonly routeHistory: Pick<RouteHistory, 'isCovered'>;
  readonly configurationConfirmation: Pick<
    ConfigurationConfirmation,
    'read' | 'statement' | 'isAsNewAs'
  >;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, Pick<FeedCoverage, 'position'>>, 'endpoints'>
  >;
  readonly peerMesh: Pick<PeerMesh, 'relays' | 'requestOrigin'>;
  /** Longest time from the begin of a stream to its last resumption. */
  readonly streamLifetime: () => Milliseconds;
  readonly timers: TimerService;
}

export class OriginConfirmation {
  readonly #options: OriginConfirmationOptions;

  constructor(options: OriginConfirmationOptions) {
    this.#options = options;
  }

  /** Resolves with undefined if the store answers neither this router nor a relay. */
  async confirm(
    query: () => OriginQuery,
  ): Promise<ConfirmedOrigin | undefined> {
    const { timers } = this.#options;
    const begin = timers.now();
    const confirmed = await this.#confirmOnce(query);
    if (confirmed || elapsed(begin, timers.now()) > RETRY_DELAY) {
      return confirmed;
    }
    await pause(timers, RETRY_DELAY);
    return this.#confirmOnce(query);
  }

  async #confirmOnce(
    query: () => OriginQuery,
  ): Promise<ConfirmedOrigin | undefined> {
    const own = this.#read();
    if (await withTimeout(own, this.#options.timers, OWN_READ_TIME)) {
      return { reader: 'store', origin: this.#found(query()) };
    }
    return firstDefined([
      own.then(isRead =>
        isRead
          ? { reader: 'store' as const, origin: this.#found(query()) }
          : undefined,
      ),
      this.#reportedHere(own, query().key),
      ...this.#relays().map(relay => this.#ask(relay, query())),
    ]);
  }

  /** The report of a stream that this router has got, if the store does not answer. */
  async #reportedHere(
    own: Promise<boolean>,
    key: StreamKey | undefined,
  ): Promise<ConfirmedOrigin | undefined> {
    const { timers, streamOrigins } = this.#options;
    if (!key || (await withTimeout(own, timers, RELAY_READ_TIME))) {
      return undefined;
    }
    const source = streamOrigins.relayedSourceOf(key);
    return source && { reader: 'peer', origin: { kind: 'reported', source } };
  }

  /** Reads the list of default versions, or asks a relay for it. */
  async refresh(): Promise<void> {
    await this.confirm(() => ({ key: undefined, service: undefined }));
  }

  /**
   * Answers a peer's query by a read of the store, or by the report of a router if the
   * store does not answer; undefined if there is none.
   */
  async answer(message: unknown): Promise<unknown> {
    const parsed = querySchema.safeParse(message);
    if (!parsed.success) {
      return undefined;
    }
    const { key, service, remaining } = parsed.data;
    const read = this.#read();
    if (!(await withTimeout(read, this.#options.timers, RELAY_READ_TIME))) {
      const report =
        key === null ? undefined : await this.#awaitReport(streamKey(key));
      if (report || !(await read)) {
        return report;
      }
    }
    const origin = this.#known({
      key: key === null ? undefined : streamKey(key),
      service: service === null ? undefined : serviceId(service),
      remaining: remaining === undefined ? undefined : milliseconds(remaining),
    });
    const { originTable, configurationConfirmation, timers } = this.#options;
    const source: StreamSource =
      origin.kind === 'unrecorded'
        ? { service: undefined, version: origin.version }
        : origin.source;
    return {
      kind: origin.kind,
      service: source.service ?? null,
      version: source.version ?? null,
      ...originTable.position,
      list: defaultsDocument(originTable.list),
      storeTime: originTable.storeTime(timers.now()),
      ...configurationConfirmation.statement(),
    };
  }

  async #read(): Promise<boolean> {
    const { originTable, configurationConfirmation } = this.#options;
    const areRead = await Promise.all([
      originTable.read(),
      configurationConfirmation.read(),
    ]);
    return areRead.every(Boolean);
  }

  /** Waits for a while for the report of a stream. */
  async #awaitReport(
    key: StreamKey,
  ): Promise<z.input<typeof reportSchema> | undefined> {
    for (let look = 1; look < RELAY_LOOKS; look += 1) {
      const report = this.#reportOf(key);
      if (report) {
        return report;
      }
      await pause(this.#options.timers, RELAY_READ_TIME);
    }
    return this.#reportOf(key);
  }

  #reportOf(key: StreamKey): z.input<typeof reportSchema> | undefined {
    const source = this.#options.streamOrigins.relayedSourceOf(key);
    return (
      source && {
        kind: 'reported',
        service: source.service ?? null,
        version: source.version ?? null,
      }
    );
  }

  /** What a read of the store shows of a stream by the routes of this router. */
  #found(query: OriginQuery): FoundOrigin {
    const { routing } = this.#options.defaultVersions;
    return this.#judged(this.#known(query), routing);
  }

  /** A missing record proves the version only if the list covers all moves that are not known here. */
  #judged(origin: FoundOrigin, routing: string | undefined): FoundOrigin {
    const { routeHistory, timers } = this.#options;
    return origin.kind !== 'unrecorded' ||
      routeHistory.isCovered(routing, timers.now())
      ? origin
      : { kind: 'unrecorded', version: undefined };
  }

  /** What is known of a stream after a read of the store, whatever the routes are. */
  #known({ key, service, remaining }: OriginQuery): FoundOrigin {
    const { streamOrigins, defaultVersions, streamLifetime, timers } =
      this.#options;
    const now = timers.now();
    const source = key && streamOrigins.sourceOf(key);
    if (source) {
      return { kind: 'recorded', source };
    }
    // Only a caller that names the stream shows that it has no record.
    const evidence =
      key === undefined || remaining === undefined
        ? undefined
        : {
            remaining,
            lifetime: streamLifetime(),
            wallTime: timers.wallTime(),
          };
    const version =
      service && defaultVersions.versionOfResumed(service, now, evidence);
    const isAmbiguous =
      service === undefined ||
      (key === undefined && streamOrigins.hasStored(service, version, now));
    return { kind: 'unrecorded', version: isAmbiguous ? undefined : version };
  }

  #relays(): RouterId[] {
    const { peerMesh, settings } = this.#options;
    const self = routerId(settings.router.id);
    return peerMesh.relays.filter(relay => relay !== self);
  }

  async #ask(
    relay: RouterId,
    { key, service, remaining }: OriginQuery,
  ): Promise<ConfirmedOrigin | undefined> {
    const { peerMesh, configurationConfirmation, coverage, timers } =
      this.#options;
    const known = coverage.endpoints.position;
    const sentAt = timers.now();
    const query: z.input<typeof querySchema> = {
      key: key ?? null,
      service: service ?? null,
      ...(remaining === undefined ? {} : { remaining }),
    };
    const answer = await peerMesh.requestOrigin(relay, query);
    const report = reportSchema.safeParse(answer);
    if (report.success) {
      return {
        reader: 'peer',
        origin: { kind: 'reported', source: sourceIn(report.data) },
      };
    }
    const parsed = answerSchema.safeParse(answer);
    if (!parsed.success || !configurationConfirmation.isAsNewAs(answer)) {
      return undefined;
    }
    const { kind, ...data } = parsed.data;
    const reached = {
      era: storeEra(data.era),
      revision: revision(data.revision),
    };
    if (known && comparePositions(reached, known) < 0) {
      return undefined;
    }
    this.#options.defaultVersions.apply(
      data.list ? listOf(data.list) : NO_LIST,
      {
        era: reached.era,
        storeTime: data.storeTime,
        sentAt,
        receivedAt: timers.now(),
      },
    );
    const source = sourceIn(data);
    const { version } = source;
    return {
      reader: 'peer',
      origin: this.#judged(
        kind === 'recorded' ? { kind, source } : { kind, version },
        data.list?.routing,
      ),
    };
  }
}

function sourceIn({
  service,
  version,
}: {
  readonly service: string | null;
  readonly version: string | null;
}): StreamSource {
  return {
    service: service === null ? undefined : serviceId(service),
    version: version === null ? undefined : softwareVersion(version),
  };
}

/** Resolves with the first value that is defined; undefined if there is none. */
async function firstDefined<Value>(
  promises: readonly Promise<Value | undefined>[],
): Promise<Value | undefined> {
  const defined = promises.map(async promise => {
    const value = await promise;
    if (value === undefined) {
      throw new RangeError('no value');
    }
    return value;
  });
  try {
    return await Promise.any(defined);
  } catch {
    return undefined;
  }
}
