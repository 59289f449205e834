/** Requests of clients to the platform: schemas of the bodies, conditions in the headers. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { z } from 'zod';

import type { Condition } from '@sesamegrade/core/types/platform';
import { header } from '../http/http-stand-in';

const conditionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('absent') }),
  z.object({ kind: z.literal('version'), version: z.number().int() }),
  z.object({ kind: z.literal('none') }),
]);

const changeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), value: z.unknown() }),
  z.object({ kind: z.literal('delete') }),
  z.object({ kind: z.literal('check') }),
]);

export const transactionSchema = z.object({
  operations: z
    .array(
      z.object({
        table: z.string().min(1),
        key: z.string().min(1),
        condition: conditionSchema,
        change: changeSchema,
      }),
    )
    .min(1),
});

export const putSchema = z.object({ value: z.unknown() });

const vmEntrySchema = z.object({
  vm: z.string().min(1),
  kind: z.enum(['router', 'engine', 'service']),
  service: z.string().optional(),
  models: z.array(z.string()).optional(),
  host: z.string(),
  port: z.number().int(),
  zone: z.string(),
  state: z.enum(['live', 'leaving']),
  incarnation: z.number().int(),
  capacity: z.number(),
});

export const vmChangeSchema = z.discriminatedUnion('action', [
  z.object({ action: z.literal('register'), entry: vmEntrySchema }),
  z.object({ action: z.literal('leave'), vm: z.string() }),
  z.object({ action: z.literal('remove'), vm: z.string() }),
]);

/** Returns the condition in the headers, or undefined if it is malformed. */
export function requestCondition(
  request: IncomingMessage,
): Condition | undefined {
  const absent = header(request, 'if-none-match');
  const match = header(request, 'if-match');
  if (absent === undefined && match === undefined) {
    return { kind: 'none' };
  }
  if (absent !== undefined) {
    return absent === '*' ? { kind: 'absent' } : undefined;
  }
  const version = /^"?(\d+)"?$/.exec(match ?? '')?.[1];
  return version === undefined
    ? undefined
    : { kind: 'version', version: Number(version) };
}

/** Returns the entity tag of a body. */
export function etag(bytes: Buffer): string {
  return `"${createHash('sha256').update(bytes).digest('hex')}"`;
}
