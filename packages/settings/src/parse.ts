/** Turns the text of an INI file into checked settings. */
import { parse } from 'ini';
import type { z } from 'zod';

import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { Settings } from './schema';
import { settingsSchema } from './schema';
import type { SettingsFailure } from './types/settings-failure';

type Issue = z.core.$ZodIssue;

/** Parses a file's text; on failure lists every fault, not just the first. */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsFailure[]> {
  const parsed = parseIni(settingsSchema, file, text);
  if (!parsed.ok) {
    return parsed;
  }
  const settings = parsed.value;
  const faults = checkServices(file, settings);
  return faults.length > 0 ? fail(faults) : succeed(settings);
}

/** Parses INI text against a schema; on failure lists every fault. */
export function parseIni<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  text: string,
): Result<z.output<Schema>, readonly SettingsFailure[]> {
  const parsed = schema.safeParse(plainObject(parse(text)));
  return parsed.success
    ? succeed(parsed.data)
    : fail(parsed.error.issues.flatMap(issue => describe(file, issue)));
}

/** Formats one fault as a line for a person. */
export function formatFailure(failure: SettingsFailure): string {
  if (failure.kind === 'unreadable') {
    return `${failure.file}: ${failure.reason}`;
  }
  const { file, section, key, expected } = failure;
  return `${file}: [${section}] ${key}: ${expected}`;
}

/** Copies objects that the INI library makes without a prototype. */
function plainObject(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, entry]) => [key, plainObject(entry)]),
  );
}

function describe(file: string, issue: Issue): SettingsFailure[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownKey(file, path, key));
  }
  const key = path.at(-1) ?? '';
  const section = path.slice(0, -1).join('.');
  if (path.length === 1) {
    const expected = `section is missing or not a section (${issue.message})`;
    return [{ kind: 'invalid', file, section: key, key: '', expected }];
  }
  return [{ kind: 'invalid', file, section, key, expected: issue.message }];
}

function unknownKey(
  file: string,
  path: readonly string[],
  key: string,
): SettingsFailure {
  if (path.length === 0) {
    const expected = 'no such section';
    return { kind: 'invalid', file, section: key, key: '', expected };
  }
  const expected = 'no such key in this section';
  return { kind: 'invalid', file, section: path.join('.'), key, expected };
}

/** Checks what one key alone cannot show. */
function checkServices(file: string, settings: Settings): SettingsFailure[] {
  const failures: SettingsFailure[] = [];
  for (const [id, service] of Object.entries(settings.service)) {
    if (service.kind === 'engine' && service.models === undefined) {
      failures.push({
        kind: 'invalid',
        file,
        section: `service.${id}`,
        key: 'models',
        expected: 'engines name at least one model',
      });
    }
  }
  return failures;
}
