/** Validates an operator's change against the content that it would modify. */
import { z } from 'zod';

import { jsonSize } from '../gossip/json-size';
import { fail, succeed } from '../types/result';
import type { Result } from '../types/result';
import { changeSchema } from './content';
import type {
  ConfigurationChange,
  ConfigurationContent,
  ProposedException,
} from './content';
import { isSettingName, SETTINGS, valueProblem } from './setting';

/** An accepted change must fit into one message to a peer. */
const MAX_CHANGE_BYTES = 1024;

/** Why a change is invalid, independent of concurrent changes. */
export type InvalidChange =
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'too-large'; readonly limitBytes: number }
  | { readonly kind: 'unknown-setting'; readonly setting: string }
  | {
      readonly kind: 'wrong-value';
      readonly setting: string;
      readonly detail: string;
    }
  /** The setting does not allow exceptions for this kind of scope. */
  | {
      readonly kind: 'wrong-scope';
      readonly setting: string;
      readonly allowed: readonly string[];
    }
  | { readonly kind: 'exception-exists'; readonly id: string }
  /** Another exception already covers the same setting and scope. */
  | { readonly kind: 'already-excepted'; readonly id: string }
  | { readonly kind: 'no-such-exception'; readonly id: string };

/** Parses an untrusted change and checks its size. */
export function parseChange(
  value: unknown,
): Result<ConfigurationChange, InvalidChange> {
  const parsed = changeSchema.safeParse(value);
  if (!parsed.success) {
    return fail({ kind: 'malformed', detail: z.prettifyError(parsed.error) });
  }
  if (jsonSize(parsed.data) > MAX_CHANGE_BYTES) {
    return fail({ kind: 'too-large', limitBytes: MAX_CHANGE_BYTES });
  }
  return succeed(parsed.data);
}

/** Returns why a change of this content is invalid; undefined when it is valid. */
export function changeProblem(
  content: ConfigurationContent,
  change: ConfigurationChange,
): InvalidChange | undefined {
  switch (change.kind) {
    case 'set-defaults':
      return defaultsProblem(change.values);
    case 'add-exception':
      return exceptionProblem(content, change.exception);
    case 'remove-exception':
      return content.exceptions.some(entry => entry.id === change.id)
        ? undefined
        : { kind: 'no-such-exception', id: change.id };
  }
}

function settingProblem(
  setting: string,
  value: unknown,
): InvalidChange | undefined {
  if (!isSettingName(setting)) {
    return { kind: 'unknown-setting', setting };
  }
  const detail = valueProblem(setting, value);
  return detail === undefined
    ? undefined
    : { kind: 'wrong-value', setting, detail };
}

function defaultsProblem(
  values: Readonly<Record<string, unknown>>,
): InvalidChange | undefined {
  const entries = Object.entries(values);
  if (entries.length === 0) {
    return { kind: 'malformed', detail: 'no values given' };
  }
  for (const [setting, value] of entries) {
    // Removing a value is allowed even if this router does not know the setting.
    const problem = value === null ? undefined : settingProblem(setting, value);
    if (problem) {
      return problem;
    }
  }
  return undefined;
}

function exceptionProblem(
  content: ConfigurationContent,
  exception: ProposedException,
): InvalidChange | undefined {
  const { id, scope, setting, value } = exception;
  const problem = settingProblem(setting, value);
  if (problem) {
    return problem;
  }
  const allowed: readonly string[] = isSettingName(setting)
    ? SETTINGS[setting].scopes
    : [];
  if (!allowed.includes(scope.kind)) {
    return { kind: 'wrong-scope', setting, allowed };
  }
  if (content.exceptions.some(entry => entry.id === id)) {
    return { kind: 'exception-exists', id };
  }
  const duplicate = content.exceptions.find(
    entry =>
      entry.setting === setting &&
      entry.scope.kind === scope.kind &&
      entry.scope.name === scope.name,
  );
  return duplicate && { kind: 'already-excepted', id: duplicate.id };
}
