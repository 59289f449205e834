/**
 * Makes sure that this router has the newest configuration, by a read of the store that
 * begins after the call, and tells peers which one it has after such a read.
 */
import { z } from 'zod';

import type { FeedTable } from '@sesamegrade/core/peers/feed-updates';
import type { RouteTable } from '@sesamegrade/core/routes/route-table';
import type { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { FeedSource } from './feed-source';
import type { FleetReplica } from './fleet-replica';

const NO_WAIT: Milliseconds = milliseconds(0);

const statementSchema = z.object({
  configuration: z.object({ version: z.number(), era: z.int().min(0) }),
});

/** The configuration that a router has after a read of the store. */
export type ConfigurationStatement = z.output<typeof statementSchema>;

export interface ConfigurationConfirmationOptions {
  readonly configurationFeed: Pick<FeedSource, 'readChanges'>;
  readonly coverage: Readonly<
    Pick<Record<FeedTable, FeedCoverage>, 'configuration'>
  >;
  readonly fleetReplica: Pick<
    FleetReplica,
    'applyConfigurationChanges' | 'configurationEra'
  >;
  readonly routes: Pick<RouteTable, 'version'>;
  readonly timers: TimerService;
}

export class ConfigurationConfirmation {
  readonly #options: ConfigurationConfirmationOptions;

  constructor(options: ConfigurationConfirmationOptions) {
    this.#options = options;
  }

  /** Puts the newest configuration in force; returns false if the store does not answer. */
  async read(): Promise<boolean> {
    const { configurationFeed, coverage, fleetReplica, timers } = this.#options;
    const after = coverage.configuration.position;
    if (after === undefined) {
      return false;
    }
    const sentAt = timers.now();
    const page = await configurationFeed.readChanges(after.revision, NO_WAIT);
    // The store may have been restored while the response was under way.
    const isCurrent = coverage.configuration.position?.era === after.era;
    if (!page.ok || !isCurrent || page.value.position.era !== after.era) {
      return false;
    }
    fleetReplica.applyConfigurationChanges(page.value, sentAt);
    return true;
  }

  /** What a peer is told after a read; undefined before the first configuration. */
  statement(): ConfigurationStatement | undefined {
    const { routes, fleetReplica } = this.#options;
    const { version } = routes;
    return version === undefined
      ? undefined
      : { configuration: { version, era: fleetReplica.configurationEra } };
  }

  /** Whether the configuration in force is the one that a peer has after a read. */
  isAsNewAs(message: unknown): boolean {
    const parsed = statementSchema.safeParse(message);
    const own = this.statement()?.configuration;
    if (!parsed.success || !own) {
      return false;
    }
    const { version, era } = parsed.data.configuration;
    return own.era === era && own.version >= version;
  }
}
