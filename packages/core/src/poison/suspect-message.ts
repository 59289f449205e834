/** What routers tell each other about suspects; strictly checked on receipt. */
import { z } from 'zod';

import { endpointId, fingerprint } from '../types/ids';
import type { EndpointId, Fingerprint } from '../types/ids';
import type { Instant, Milliseconds } from '../types/units';
import { elapsed, milliseconds } from '../types/units';
import { crashId } from './suspect';
import type { CrashId, Suspect } from './suspect';
import { MAX_CRASHES_PER_SUSPECT, SUSPECT_LIFETIMES } from './suspect-table';

export type SuspectMessage =
  | {
      readonly kind: 'suspect';
      readonly id: Fingerprint;
      readonly crashes: readonly CrashId[];
      readonly cleared: readonly CrashId[];
      readonly age: Milliseconds;
    }
  /** The sender has the row in this version. */
  | {
      readonly kind: 'known';
      readonly id: Fingerprint;
      readonly version: number;
    }
  /** The sender asks the keeper for a trial on one of the endpoints. */
  | {
      readonly kind: 'ask';
      readonly id: Fingerprint;
      readonly endpoints: readonly EndpointId[];
    }
  | {
      readonly kind: 'grant';
      readonly id: Fingerprint;
      readonly endpoint: EndpointId;
    }
  /** The sender is running the content on the endpoint. */
  | {
      readonly kind: 'running';
      readonly id: Fingerprint;
      readonly endpoint: EndpointId;
    }
  /** The sender runs the content no more. */
  | { readonly kind: 'ended'; readonly id: Fingerprint };

/** Endpoints named in one request for a trial. */
export const MAX_TRIAL_CANDIDATES = 8;

const id = z.string().min(1).max(128).transform(fingerprint);
const endpoint = z.string().min(1).max(128).transform(endpointId);
const crashes = z
  .array(z.string().min(1).max(192).transform(crashId))
  .max(MAX_CRASHES_PER_SUSPECT);
const age = z
  .number()
  .min(0)
  .max(SUSPECT_LIFETIMES.condemned)
  .transform(milliseconds);
const version = z
  .int()
  .min(1)
  .max(2 * MAX_CRASHES_PER_SUSPECT);

const messageSchema: z.ZodType<SuspectMessage> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('suspect'),
    id,
    crashes: crashes.min(1),
    cleared: crashes,
    age,
  }),
  z.object({ kind: z.literal('known'), id, version }),
  z.object({
    kind: z.literal('ask'),
    id,
    endpoints: z.array(endpoint).max(MAX_TRIAL_CANDIDATES),
  }),
  z.object({ kind: z.literal('grant'), id, endpoint }),
  z.object({ kind: z.literal('running'), id, endpoint }),
  z.object({ kind: z.literal('ended'), id }),
]);

/** Returns the message, or undefined when it is malformed. */
export function parseSuspectMessage(
  value: unknown,
): SuspectMessage | undefined {
  const parsed = messageSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** The message that tells a row. */
export function suspectMessage(row: Suspect, now: Instant): SuspectMessage {
  return {
    kind: 'suspect',
    id: row.id,
    crashes: [...row.crashes],
    cleared: [...row.cleared],
    age: milliseconds(
      Math.min(
        Math.max(0, elapsed(row.seenAt, now)),
        SUSPECT_LIFETIMES.condemned,
      ),
    ),
  };
}
