/** How long a stream may be resumed after its begin. */
import type { FleetConfiguration } from '../routes/fleet-configuration';
import { MAX_CONFIGURATION_DELAY } from '../routes/route-history';
import type { RouteTable } from '../routes/route-table';
import type { TimerService } from '../time/timer-service';
import { addTime, elapsed, milliseconds, seconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';

const MIN_LIFETIME: Milliseconds = seconds(30);
/** Counts before the routes are known: more than the life of a stream on any. */
const UNKNOWN_LIFETIME: Milliseconds = seconds(600);

/** Longest life of a stream on routes with these timeouts: it may be resumed once at its end. */
export function streamLifetime(
  timeouts: readonly Milliseconds[],
): Milliseconds {
  return milliseconds(
    Math.max(MIN_LIFETIME, ...timeouts.map(time => 2 * time)),
  );
}

/** Longest time that a caller whose stream has this life may wait in all. */
export function longestCallerTime(lifetime: Milliseconds): Milliseconds {
  return milliseconds(lifetime / 2);
}

/** A longer life on routes that others have replaced. */
interface EarlierLifetime {
  readonly lifetime: Milliseconds;
  /** When the last stream that began on them has ended. */
  readonly until: Instant;
}

/**
 * Returns a function that gives the longest life of a stream on the routes in force, or on
 * earlier ones whose streams may still live.
 */
export function routedLifetime(
  routes: Pick<RouteTable, 'configuration'>,
  timers: Pick<TimerService, 'now'>,
): () => Milliseconds {
  let known: FleetConfiguration | undefined;
  let lifetime = UNKNOWN_LIFETIME;
  /** From the longest life to the shortest. */
  let earlier: readonly EarlierLifetime[] = [];
  return () => {
    const now = timers.now();
    const { configuration } = routes;
    if (configuration && configuration !== known) {
      const next = streamLifetime(
        configuration.routes
          .filter(({ answer }) => answer.kind === 'stream')
          .map(({ timeout }) => timeout),
      );
      if (known && next < lifetime) {
        earlier = withLifetime(earlier, lifetime, now);
      }
      known = configuration;
      lifetime = next;
    }
    earlier = earlier.filter(({ until }) => elapsed(now, until) >= 0);
    return milliseconds(
      Math.max(lifetime, ...earlier.map(entry => entry.lifetime)),
    );
  };
}

/** Adds a life that ends now; shorter ones end before it. */
function withLifetime(
  earlier: readonly EarlierLifetime[],
  lifetime: Milliseconds,
  now: Instant,
): EarlierLifetime[] {
  const span = milliseconds(lifetime + MAX_CONFIGURATION_DELAY);
  return [
    ...earlier.filter(entry => entry.lifetime > lifetime),
    { lifetime, until: addTime(now, span) },
  ];
}
