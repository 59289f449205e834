/**
 * Event ids of streamed responses as callers receive them; each encodes the
 * stream and the position in it.
 */
import { attemptId, endpointId } from '../types/ids';
import type { AttemptId, EndpointId } from '../types/ids';

/** Position in one stream at one endpoint. */
export interface StreamPosition {
  readonly endpoint: EndpointId;
  readonly attempt: AttemptId;
  /** Authentication tag: proves that a router issued this id to the team that presents it. */
  readonly tag: string;
  /** Number of the last event that the caller received. */
  readonly event: number;
}

const MAX_ID_LENGTH = 512;
const SEPARATOR = '~';
const PART = /^[A-Za-z0-9._:-]{1,128}$/u;
const NUMBER = /^\d{1,12}$/u;

/** Returns the prefix that the ids of all events of a stream share. */
export function eventIdPrefix(
  endpoint: EndpointId,
  attempt: AttemptId,
  tag: string,
): string {
  return [endpoint, attempt, tag, ''].join(SEPARATOR);
}

/**
 * Parses an id that a caller sent back; returns undefined if it is malformed.
 * The tag is not verified.
 */
export function parseEventId(text: string): StreamPosition | undefined {
  if (text.length > MAX_ID_LENGTH) {
    return undefined;
  }
  const [endpoint, attempt, tag, event, ...extra] = text.split(SEPARATOR);
  if (
    endpoint === undefined ||
    attempt === undefined ||
    tag === undefined ||
    event === undefined ||
    extra.length > 0
  ) {
    return undefined;
  }
  const isValid =
    [endpoint, attempt, tag].every(part => PART.test(part)) &&
    NUMBER.test(event);
  if (!isValid) {
    return undefined;
  }
  return {
    endpoint: endpointId(endpoint),
    attempt: attemptId(attempt),
    tag,
    event: Number(event),
  };
}
