/**
 * Row formats of the configuration in the platform's table. Every router polls
 * the head row, so it is small; the full content is in a second row, written in
 * the same transaction.
 */
import { z } from 'zod';

import { fail, succeed } from '../types/result';
import type { Result } from '../types/result';
import { contentHash, contentSchema, recordSchema } from './content';
import type { ConfigurationContent, ConfigurationRecord } from './content';

export const CONFIGURATION_TABLE = 'configuration';
export const HEAD_KEY = 'head';
export const CONTENT_KEY = 'content';

/** Row format that this program writes, and the highest that it reads. */
export const ROW_FORMAT = 1;

/**
 * Accepted versions listed in the content row, so that lost write responses can
 * be settled.
 */
export const MAX_RECENT_VERSIONS = 64;

const formatSchema = z.object({ format: z.int().min(1) });

const headSchema = z.object({
  format: z.literal(ROW_FORMAT),
  record: recordSchema,
});

const recentSchema = z.object({
  version: z.int().min(1),
  changeId: z.string(),
  who: z.string(),
  when: z.number(),
});

export const snapshotSchema = z.object({
  format: z.literal(ROW_FORMAT),
  version: z.int().min(0),
  content: contentSchema,
  /** Latest accepted versions, oldest first. */
  recent: z.array(recentSchema).max(MAX_RECENT_VERSIONS),
  hash: z.int().min(0),
});

/** The change that was accepted as a version, and its author. */
export type AcceptedVersion = z.infer<typeof recentSchema>;
/** A version with its full content, as stored in the table and sent to peers. */
export type ConfigurationSnapshot = z.infer<typeof snapshotSchema>;

/** Why a stored row or a peer's message cannot be used. */
export type UnreadableRow =
  | { readonly kind: 'corrupt'; readonly row: string; readonly detail: string }
  /** Written by a newer build than this one. */
  | {
      readonly kind: 'newer-format';
      readonly row: string;
      readonly format: number;
    };

function parseRow<Value>(
  row: string,
  schema: z.ZodType<Value>,
  value: unknown,
): Result<Value, UnreadableRow> {
  const header = formatSchema.safeParse(value);
  if (header.success && header.data.format > ROW_FORMAT) {
    return fail({ kind: 'newer-format', row, format: header.data.format });
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    const detail = z.prettifyError(parsed.error);
    return fail({ kind: 'corrupt', row, detail });
  }
  return succeed(parsed.data);
}

export function parseHead(
  value: unknown,
): Result<ConfigurationRecord, UnreadableRow> {
  const parsed = parseRow(HEAD_KEY, headSchema, value);
  return parsed.ok ? succeed(parsed.value.record) : parsed;
}

export function parseSnapshot(
  value: unknown,
): Result<ConfigurationSnapshot, UnreadableRow> {
  const parsed = parseRow(CONTENT_KEY, snapshotSchema, value);
  if (parsed.ok && parsed.value.hash !== contentHash(parsed.value.content)) {
    return fail({
      kind: 'corrupt',
      row: CONTENT_KEY,
      detail: 'the content does not match its hash',
    });
  }
  return parsed;
}

export function encodeHead(record: ConfigurationRecord): object {
  return { format: ROW_FORMAT, record };
}

export function createSnapshot(
  version: number,
  content: ConfigurationContent,
  recent: readonly AcceptedVersion[],
): ConfigurationSnapshot {
  return {
    format: ROW_FORMAT,
    version,
    content,
    recent: recent.slice(-MAX_RECENT_VERSIONS),
    hash: contentHash(content),
  };
}
