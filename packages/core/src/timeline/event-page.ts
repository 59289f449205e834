/** Validation and filtering of events received from other processes. */
import { z } from 'zod';

import type { EventLinks } from './event';
import { timestampSchema } from './hybrid-clock';

const MAX_TEXT_LENGTH = 500;
const MAX_EVENTS = 10_000;
const text = z.string().max(MAX_TEXT_LENGTH);

const eventSchema = z.object({
  sequence: z.int().min(1),
  stamp: timestampSchema,
  /** Not limited to the kinds of this build, as other processes may run a newer one. */
  kind: text,
  links: z.object({
    request: text.optional(),
    attempt: text.optional(),
    endpoint: text.optional(),
    router: text.optional(),
    team: text.optional(),
    lease: text.optional(),
    configuration: z.number().optional(),
    order: text.optional(),
  }),
  detail: z.record(text, z.union([text, z.number(), z.boolean()])).optional(),
});

export const eventPageSchema = z.object({
  process: text.min(1),
  incarnation: z.number(),
  events: z.array(eventSchema).max(MAX_EVENTS),
  lost: z.int().min(0),
  next: z.int().min(0),
});

/** A received page of events that passed the schema. */
export type ReceivedEventPage = z.infer<typeof eventPageSchema>;
export type ReceivedEvent = z.infer<typeof eventSchema>;

/** Selects events; all conditions that are set must hold. */
export interface EventFilter extends EventLinks {
  readonly kind?: string;
  /** Unix milliseconds. */
  readonly since?: number;
}

const LINK_NAMES = [
  'request',
  'attempt',
  'endpoint',
  'router',
  'team',
  'lease',
  'configuration',
  'order',
] as const;

/** Returns whether an event passes the filter. */
export function passesFilter(
  event: ReceivedEvent,
  filter: EventFilter,
): boolean {
  if (filter.kind !== undefined && event.kind !== filter.kind) {
    return false;
  }
  if (filter.since !== undefined && event.stamp[0] < filter.since) {
    return false;
  }
  return LINK_NAMES.every(
    name => filter[name] === undefined || event.links[name] === filter[name],
  );
}
