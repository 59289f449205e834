/** Reloads the settings file at a signal, and when a periodic check finds its text changed. */
import { readFileSync } from 'node:fs';

import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { SettingsReloader, ReloadCause } from './settings-reloader';

/**
 * The file may change without a signal; deployments set no limit for how soon
 * that must take effect.
 */
const CHECK_PERIOD: Milliseconds = seconds(2);

export interface SettingsFileWatcherOptions {
  readonly file: string;
  /** Content of the file that the router was started with. */
  readonly text: string;
  readonly settingsReloader: SettingsReloader;
  readonly timers: TimerService;
  readonly log: DecisionLog;
}

export class SettingsFileWatcher {
  readonly #options: SettingsFileWatcherOptions;
  #text: string;

  constructor(options: SettingsFileWatcherOptions) {
    this.#options = options;
    this.#text = options.text;
  }

  start(): void {
    this.#options.timers.every(CHECK_PERIOD, () => {
      this.check('file-changed');
    });
  }

  /** Reads the file and reloads the settings if its text changed, or in any case at a signal. */
  check(cause: ReloadCause): void {
    const { file, settingsReloader, log } = this.#options;
    let text: string;
    try {
      // Synchronous: for this kilobyte in the page cache an asynchronous read
      // costs four times as much.
      text = readFileSync(file, 'utf8');
    } catch (error) {
      // The file may be in the middle of being replaced; the settings in force stay.
      log.write('settings-unreadable', { file, cause, error: String(error) });
      return;
    }
    if (text === this.#text && cause === 'file-changed') {
      return;
    }
    this.#text = text;
    settingsReloader.reload(file, text, cause);
  }
}
