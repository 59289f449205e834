/** Connections to endpoints, kept for the next request. */
import type { EndpointEntry } from '@sesamegrade/core/endpoints/serving-endpoint';
import type { EndpointId, ServiceId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';
import { EndpointConnection } from './endpoint-connection';

/** Unused connections kept for one endpoint. */
const MAX_IDLE = 16;
/** Unused time after which no connection is used again, whatever the endpoint says. */
const LONGEST_IDLE: Milliseconds = milliseconds(20_000);
/**
 * The same for calls that may not be sent again: a connection that the endpoint
 * closes as the call goes out loses the call.
 */
const LONGEST_IDLE_ONCE: Milliseconds = milliseconds(4000);
/** Part of the idle time at which an endpoint was seen to close up to which others are trusted. */
const LEARNED_SHARE = 0.75;
/** A connection is worth keeping for at least this long. */
const SHORTEST_IDLE: Milliseconds = milliseconds(300);

export class ConnectionPool {
  readonly #idle = new Map<EndpointId, EndpointConnection[]>();
  /** Unused time after which endpoints of a service were seen to close. */
  readonly #limits = new Map<ServiceId, Milliseconds>();
  readonly #now: () => Instant;
  #opened = 0;

  constructor(now: () => Instant) {
    this.#now = now;
  }

  /** Connections opened since the start. */
  get openedCount(): number {
    return this.#opened;
  }

  /** Returns the connection that was unused longest, as a late answer would have shown on it, or a new one. */
  take(
    entry: EndpointEntry,
    repeatable: boolean,
    connectTime: Milliseconds,
  ): EndpointConnection {
    const now = this.#now();
    const learned = this.#limits.get(entry.service) ?? LONGEST_IDLE;
    const longest = repeatable
      ? learned
      : milliseconds(Math.min(learned, LONGEST_IDLE_ONCE));
    const idle = this.#idle.get(entry.id) ?? [];
    for (let at = 0; at < idle.length; at += 1) {
      const channel = idle[at];
      if (channel?.isReusable(now, longest)) {
        idle.splice(at, 1);
        return channel;
      }
    }
    this.#opened += 1;
    return new EndpointConnection(entry.address, connectTime, closed => {
      this.#drop(entry, closed);
    });
  }

  /** Keeps a connection whose exchange ended whole. */
  release(endpoint: EndpointId, channel: EndpointConnection): void {
    if (channel.isClosed) {
      return;
    }
    const idle = this.#idle.get(endpoint) ?? [];
    if (idle.length >= MAX_IDLE) {
      channel.destroy();
      return;
    }
    idle.push(channel);
    this.#idle.set(endpoint, idle);
  }

  /** Ends unused connections to an endpoint that is gone. */
  closeIdle(endpoint: EndpointId): void {
    for (const channel of this.#idle.get(endpoint) ?? []) {
      channel.destroy();
    }
    this.#idle.delete(endpoint);
  }

  close(): void {
    for (const endpoint of [...this.#idle.keys()]) {
      this.closeIdle(endpoint);
    }
  }

  /** Notes that a connection broke when it was used again after a time without use. */
  recordIdleBreak(service: ServiceId, idle: Milliseconds): void {
    const known = this.#limits.get(service) ?? LONGEST_IDLE;
    const limit = Math.min(known, idle * LEARNED_SHARE);
    this.#limits.set(service, milliseconds(Math.max(SHORTEST_IDLE, limit)));
  }

  #drop({ id, service }: EndpointEntry, closed: EndpointConnection): void {
    const idle = this.#idle.get(id);
    const at = idle?.indexOf(closed) ?? -1;
    if (at < 0) {
      return;
    }
    idle?.splice(at, 1);
    const age = closed.idleTime(this.#now());
    if (age !== undefined && age > SHORTEST_IDLE) {
      this.recordIdleBreak(service, age);
    }
  }
}
