/** Parses the text of an INI file and validates it against a schema. */
import { parse } from 'ini';
import type { z } from 'zod';

import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { Settings } from './schema';
import { settingsSchema } from './schema';
import type { SettingsFailure } from './types/settings-failure';

type Issue = z.core.$ZodIssue;

/**
 * Parses the settings of one router.
 * @param file name of the file, for the error messages only
 * @returns the settings, or all errors of the file rather than the first one
 */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsFailure[]> {
  const parsed = parseIni(settingsSchema, file, text);
  if (!parsed.ok) {
    return parsed;
  }
  const settings = parsed.value;
  const failures = checkServices(file, settings);
  return failures.length > 0 ? fail(failures) : succeed(settings);
}

/** Parses INI text and validates it against a schema; a failure lists all errors. */
export function parseIni<Schema extends z.ZodType>(
  schema: Schema,
  file: string,
  text: string,
): Result<z.output<Schema>, readonly SettingsFailure[]> {
  const parsed = schema.safeParse(plainObject(parse(text)));
  return parsed.success
    ? succeed(parsed.data)
    : fail(parsed.error.issues.flatMap(issue => toFailures(file, issue)));
}

/** Formats one error as a line of text: file, section, key and what is expected. */
export function formatFailure(failure: SettingsFailure): string {
  if (failure.kind === 'unreadable') {
    return `${failure.file}: ${failure.reason}`;
  }
  const { file, section, key, expected } = failure;
  return `${file}: [${section}] ${key}: ${expected}`;
}

/** Copies the prototype-less objects of the INI parser to plain ones, which zod needs. */
function plainObject(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).map(([key, entry]) => [key, plainObject(entry)]),
  );
}

function toFailures(file: string, issue: Issue): SettingsFailure[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => unknownKey(file, path, key));
  }
  const key = path.at(-1) ?? '';
  const section = path.slice(0, -1).join('.');
  if (path.length === 1) {
    const expected = `the section is missing or is not a section (${issue.message})`;
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
    const expected = 'unknown section; remove it or correct its name';
    return { kind: 'invalid', file, section: key, key: '', expected };
  }
  const expected = 'unknown key in this section; remove it or correct its name';
  return { kind: 'invalid', file, section: path.join('.'), key, expected };
}

/** Checks the rules that concern more than one key of a service. */
function checkServices(file: string, settings: Settings): SettingsFailure[] {
  const failures: SettingsFailure[] = [];
  for (const [id, service] of Object.entries(settings.service)) {
    if (service.kind === 'engine' && service.models === undefined) {
      failures.push({
        kind: 'invalid',
        file,
        section: `service.${id}`,
        key: 'models',
        expected: 'expected at least one model, as kind is "engine"',
      });
    }
  }
  return failures;
}
