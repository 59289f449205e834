/**
 * Messages that routers exchange about suspects and trials, validated strictly
 * on receipt.
 */
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
  /** Acknowledges a version of the row. */
  | {
      readonly kind: 'known';
      readonly id: Fingerprint;
      readonly version: number;
    }
  /** Requests a trial on one of the endpoints from the owner. */
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
  /** Reports that the sender runs the content on the endpoint. */
  | {
      readonly kind: 'running';
      readonly id: Fingerprint;
      readonly endpoint: EndpointId;
    }
  /** Reports that the sender no longer runs the content. */
  | { readonly kind: 'ended'; readonly id: Fingerprint };

/** Maximum number of endpoints in one trial request. */
export const MAX_TRIAL_CANDIDATES = 8;

const idSchema = z.string().min(1).max(128).transform(fingerprint);
const endpointSchema = z.string().min(1).max(128).transform(endpointId);
const crashesSchema = z
  .array(z.string().min(1).max(192).transform(crashId))
  .max(MAX_CRASHES_PER_SUSPECT);
const ageSchema = z
  .number()
  .min(0)
  .max(SUSPECT_LIFETIMES.condemned)
  .transform(milliseconds);
const versionSchema = z
  .int()
  .min(1)
  .max(2 * MAX_CRASHES_PER_SUSPECT);

const messageSchema: z.ZodType<SuspectMessage> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('suspect'),
    id: idSchema,
    crashes: crashesSchema.min(1),
    cleared: crashesSchema,
    age: ageSchema,
  }),
  z.object({ kind: z.literal('known'), id: idSchema, version: versionSchema }),
  z.object({
    kind: z.literal('ask'),
    id: idSchema,
    endpoints: z.array(endpointSchema).max(MAX_TRIAL_CANDIDATES),
  }),
  z.object({
    kind: z.literal('grant'),
    id: idSchema,
    endpoint: endpointSchema,
  }),
  z.object({
    kind: z.literal('running'),
    id: idSchema,
    endpoint: endpointSchema,
  }),
  z.object({ kind: z.literal('ended'), id: idSchema }),
]);

/** Returns the message, or undefined when it is malformed. */
export function parseSuspectMessage(
  value: unknown,
): SuspectMessage | undefined {
  const parsed = messageSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Returns the message that carries a row to other routers. */
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
