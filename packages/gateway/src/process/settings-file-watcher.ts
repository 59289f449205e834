/** Reads the settings file again at a signal, and when its text is another one. */
import { readFileSync } from 'node:fs';

import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { SettingsReloader, ReloadCause } from './settings-reloader';

/** The file may change without a signal; the deployments name no bound for that. */
const LOOK_PERIOD: Milliseconds = seconds(2);

export interface SettingsFileWatcherOptions {
  readonly file: string;
  /** Text that the router was started with. */
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
    this.#options.timers.every(LOOK_PERIOD, () => {
      this.check('file-changed');
    });
  }

  /** Reads the file; the settings change only with its text. */
  check(cause: ReloadCause): void {
    const { file, settingsReloader, log } = this.#options;
    let text: string;
    try {
      // A kilobyte in memory: an asynchronous read costs four times as much.
      text = readFileSync(file, 'utf8');
    } catch (error) {
      // The file may just be replaced; the settings in force stay.
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
