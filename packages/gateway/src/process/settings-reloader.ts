/** Holds the settings in force and applies changes of the settings file that need no restart. */
import type { Logger } from 'winston';

import { gatewaySettingsSchema } from '@sesamegrade/settings/gateway-schema';
import type { GatewaySettings } from '@sesamegrade/settings/gateway-schema';
import { formatFailure, parseIni } from '@sesamegrade/settings/parse';
import { settingsChanges } from '@sesamegrade/settings/settings-change';
import type { SettingsChange } from '@sesamegrade/settings/settings-change';
import type { DecisionLog } from '../logs/decision-log';

/** Why the settings file is reloaded. */
export type ReloadCause = 'signal' | 'file-changed';

/** Settings, as `section.key`, that take effect at once; others need a restart. */
const RELOADABLE_KEYS: ReadonlySet<string> = new Set([
  'peers.seeds',
  'stop.grace_seconds',
  'retries.ratio',
  'retries.window_seconds',
  'retries.slack',
  'log.level',
]);

export interface SettingsReloaderOptions {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly log: DecisionLog;
}

export class SettingsReloader {
  readonly #options: SettingsReloaderOptions;
  #current: GatewaySettings;

  constructor(options: SettingsReloaderOptions) {
    this.#options = options;
    this.#current = options.settings;
  }

  get current(): GatewaySettings {
    return this.#current;
  }

  /**
   * Applies a new text of the file and logs which changes took effect and
   * which need a restart. A text that fails validation changes nothing.
   */
  reload(file: string, text: string, cause: ReloadCause): void {
    const { log, logger } = this.#options;
    const parsed = parseIni(gatewaySettingsSchema, file, text);
    if (!parsed.ok) {
      log.write('settings-rejected', {
        cause,
        failures: parsed.failure.map(formatFailure),
      });
      return;
    }
    const changes = settingsChanges({ ...this.#current }, { ...parsed.value });
    const { peers, stop, retries, log: logSettings } = parsed.value;
    this.#current = {
      ...this.#current,
      peers: { ...this.#current.peers, seeds: peers.seeds },
      stop,
      retries,
      log: logSettings,
    };
    logger.level = logSettings.level;
    log.write('settings', {
      cause,
      applied: changes.filter(isReloadable),
      needRestart: changes.filter(change => !isReloadable(change)),
    });
  }
}

function isReloadable({ section, key }: SettingsChange): boolean {
  return RELOADABLE_KEYS.has(`${section}.${key}`);
}
