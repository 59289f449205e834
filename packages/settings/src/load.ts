/** Reads a settings file and the secrets that it names. */
import { readFileSync } from 'node:fs';

import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import { parseSettings } from './parse';
import type { Settings } from './schema';
import type { SettingsFailure } from './types/settings-failure';

/** Secrets of one router. They are not part of the settings, so they are never printed with them. */
export interface Secrets {
  readonly peerSecret: string;
  readonly operatorToken: string;
}

/** Reads and validates a settings file; a failure lists all errors. */
export function loadSettings(
  file: string,
): Result<Settings, readonly SettingsFailure[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return fail([{ kind: 'unreadable', file, reason }]);
  }
  return parseSettings(file, text);
}

/**
 * Reads the secrets from the environment variables and files that the settings name.
 * A non-empty variable takes precedence over a file.
 */
export function loadSecrets(
  file: string,
  settings: Settings,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Secrets, readonly SettingsFailure[]> {
  const { secrets } = settings;
  const peerSecret = readSecret(
    environment,
    secrets.peer_secret_env,
    secrets.peer_secret_file,
  );
  const operatorToken = readSecret(
    environment,
    secrets.operator_token_env,
    secrets.operator_token_file,
  );
  const failures: SettingsFailure[] = [];
  if (peerSecret === undefined) {
    failures.push(missingSecret(file, 'peer_secret'));
  }
  if (operatorToken === undefined) {
    failures.push(missingSecret(file, 'operator_token'));
  }
  if (peerSecret === undefined || operatorToken === undefined) {
    return fail(failures);
  }
  return succeed({ peerSecret, operatorToken });
}

function missingSecret(file: string, key: string): SettingsFailure {
  return {
    kind: 'missing-secret',
    file,
    section: 'secrets',
    key: `${key}_env or ${key}_file`,
    expected:
      'expected the name of an environment variable or a file with a non-empty secret',
  };
}

function readSecret(
  environment: Readonly<Record<string, string | undefined>>,
  variable: string | undefined,
  path: string | undefined,
): string | undefined {
  const fromEnvironment =
    variable === undefined ? undefined : environment[variable];
  if (fromEnvironment !== undefined && fromEnvironment !== '') {
    return fromEnvironment;
  }
  if (path === undefined) {
    return undefined;
  }
  try {
    const content = readFileSync(path, 'utf8').trim();
    return content === '' ? undefined : content;
  } catch {
    return undefined;
  }
}
