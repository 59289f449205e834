/** Content of one configuration version, and the changes that lead to the next one. */
import canonicalize from 'canonicalize';
import murmurhash from 'murmurhash';
import { z } from 'zod';

import { scopeKindSchema } from './setting';

export const MAX_REASON_LENGTH = 400;
const MAX_NAME_LENGTH = 100;
const MAX_EXCEPTIONS = 10_000;

const name = z.string().min(1).max(MAX_NAME_LENGTH);

export const scopeSchema = z.object({ kind: scopeKindSchema, name });

/** An operator's exception from a default, with its reason. */
export const exceptionSchema = z.object({
  id: name,
  scope: scopeSchema,
  setting: name,
  value: z.json(),
  reason: z.string().trim().min(1).max(MAX_REASON_LENGTH),
});

/** An accepted exception with its author and time (Unix milliseconds). */
export const acceptedExceptionSchema = exceptionSchema.extend({
  who: name,
  when: z.number(),
});

export const contentSchema = z.object({
  /** Setting values by name; names unknown to this router are preserved. */
  defaults: z.record(z.string(), z.json()),
  exceptions: z.array(acceptedExceptionSchema).max(MAX_EXCEPTIONS),
});

export const changeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('set-defaults'),
    /** New values by name; null resets a setting to its built-in value. */
    values: z.record(name, z.json()),
  }),
  z.object({ kind: z.literal('add-exception'), exception: exceptionSchema }),
  z.object({ kind: z.literal('remove-exception'), id: name }),
]);

/** One accepted change: all that is needed to derive a version from the previous one. */
export const recordSchema = z.object({
  version: z.int().min(1),
  changeId: name,
  who: name,
  /** Wall time of the router that accepted it, Unix milliseconds. */
  when: z.number(),
  change: changeSchema,
  /** Hash of the content after the change. */
  hash: z.int().min(0),
});

export type ExceptionScope = z.infer<typeof scopeSchema>;
export type ProposedException = z.infer<typeof exceptionSchema>;
export type AcceptedException = z.infer<typeof acceptedExceptionSchema>;
export type ConfigurationContent = z.infer<typeof contentSchema>;
export type ConfigurationChange = z.infer<typeof changeSchema>;
export type ConfigurationRecord = z.infer<typeof recordSchema>;

export const EMPTY_CONTENT: ConfigurationContent = {
  defaults: {},
  exceptions: [],
};

/** Returns a hash of the content, by which routers detect that their content diverged. */
export function contentHash(content: ConfigurationContent): number {
  return murmurhash.v3(canonicalize(content) ?? '');
}

/** Author of a change and its time in Unix milliseconds. */
export interface Attribution {
  readonly who: string;
  readonly when: number;
}

/** Returns the content after a change. */
export function applyChange(
  content: ConfigurationContent,
  change: ConfigurationChange,
  by: Attribution,
): ConfigurationContent {
  const { defaults, exceptions } = content;
  switch (change.kind) {
    case 'set-defaults': {
      const merged = { ...defaults, ...change.values };
      const defined = Object.entries(merged).filter(
        ([, value]) => value !== null,
      );
      return { defaults: Object.fromEntries(defined), exceptions };
    }
    case 'add-exception': {
      const accepted = { ...change.exception, who: by.who, when: by.when };
      const others = exceptions.filter(entry => entry.id !== accepted.id);
      return { defaults, exceptions: [...others, accepted] };
    }
    case 'remove-exception':
      return {
        defaults,
        exceptions: exceptions.filter(entry => entry.id !== change.id),
      };
  }
}
