/** Ids of streamed events as callers see them: where the stream runs and how far it is. */
import { attemptId, endpointId } from '../types/ids';
import type { AttemptId, EndpointId } from '../types/ids';

/** Position in one stream at one endpoint. */
export interface StreamPosition {
  readonly endpoint: EndpointId;
  readonly attempt: AttemptId;
  /** Proof that a router gave this id to the team that shows it. */
  readonly tag: string;
  /** Number of the last event that the caller has. */
  readonly event: number;
}

const MAX_ID_LENGTH = 512;
const SEPARATOR = '~';
const PART = /^[A-Za-z0-9._:-]{1,128}$/u;
const NUMBER = /^\d{1,12}$/u;

/** Returns the part of an id that all events of a stream share. */
export function eventIdPrefix(
  endpoint: EndpointId,
  attempt: AttemptId,
  tag: string,
): string {
  return [endpoint, attempt, tag, ''].join(SEPARATOR);
}

/** Parses an id that a caller sent back; undefined when it is not one. */
export function parseEventId(text: string): StreamPosition | undefined {
  if (text.length > MAX_ID_LENGTH) {
    return undefined;
  }
  const [endpoint, attempt, tag, event, ...rest] = text.split(SEPARATOR);
  if (
    endpoint === undefined ||
    attempt === undefined ||
    tag === undefined ||
    event === undefined ||
    rest.length > 0
  ) {
    return undefined;
  }
  const valid =
    [endpoint, attempt, tag].every(part => PART.test(part)) &&
    NUMBER.test(event);
  if (!valid) {
    return undefined;
  }
  return {
    endpoint: endpointId(endpoint),
    attempt: attemptId(attempt),
    tag,
    event: Number(event),
  };
}
