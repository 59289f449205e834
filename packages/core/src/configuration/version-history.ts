/**
 * The configuration version in force at one router, which only ever rises, and
 * the latest changes that led to it.
 */
import { configurationVersion } from '../types/ids';
import type { ConfigurationVersion } from '../types/ids';
import { applyChange, contentHash, EMPTY_CONTENT } from './content';
import type { ConfigurationContent, ConfigurationRecord } from './content';
import { EffectiveSettings } from './effective-settings';
import { createSnapshot } from './configuration-rows';
import type {
  AcceptedVersion,
  ConfigurationSnapshot,
} from './configuration-rows';

/** Changes cached so that peers can catch up without the full content. */
const MAX_RECORDS = 64;

/** Result of applying a record or a snapshot. */
export type ApplyResult =
  | 'applied'
  /** Not newer than the version in force. */
  | 'old'
  /** Changes between the version in force and this one are missing. */
  | 'gap'
  /**
   * The resulting content does not match the hash made by the router that
   * accepted the change.
   */
  | 'diverged';

export class VersionHistory {
  #snapshot: ConfigurationSnapshot = createSnapshot(0, EMPTY_CONTENT, []);
  #settings = new EffectiveSettings(EMPTY_CONTENT);
  #records: ConfigurationRecord[] = [];

  get version(): ConfigurationVersion {
    return configurationVersion(this.#snapshot.version);
  }

  get content(): ConfigurationContent {
    return this.#snapshot.content;
  }

  get settings(): EffectiveSettings {
    return this.#settings;
  }

  get snapshot(): ConfigurationSnapshot {
    return this.#snapshot;
  }

  /** Returns the accepted version of this number if it is among the recent ones. */
  findByVersion(version: number): AcceptedVersion | undefined {
    return this.#snapshot.recent.find(entry => entry.version === version);
  }

  /** Returns the accepted version made by a change if it is among the recent ones. */
  findByChangeId(changeId: string): AcceptedVersion | undefined {
    return this.#snapshot.recent.find(entry => entry.changeId === changeId);
  }

  /** Returns the changes after a version, or undefined when some are no longer cached. */
  recordsAfter(version: number): readonly ConfigurationRecord[] | undefined {
    const records = this.#records.filter(record => record.version > version);
    const isComplete = version + records.length === this.#snapshot.version;
    return isComplete ? records : undefined;
  }

  /** Returns the snapshot that applying a record would give, without applying it. */
  preview(record: ConfigurationRecord): ConfigurationSnapshot {
    const { version, changeId, who, when, change } = record;
    const content = applyChange(this.content, change, { who, when });
    const accepted = { version, changeId, who, when };
    return createSnapshot(version, content, [
      ...this.#snapshot.recent,
      accepted,
    ]);
  }

  /** Applies the change that leads from the version in force to the next one. */
  applyRecord(record: ConfigurationRecord): ApplyResult {
    if (!this.isNewer(record.version)) {
      return 'old';
    }
    if (record.version !== this.#snapshot.version + 1) {
      return 'gap';
    }
    const next = this.preview(record);
    if (contentHash(next.content) !== record.hash) {
      return 'diverged';
    }
    this.#records = [...this.#records, record].slice(-MAX_RECORDS);
    this.#replace(next);
    return 'applied';
  }

  /**
   * Replaces the configuration in force by a newer snapshot and drops the
   * cached changes.
   */
  applySnapshot(snapshot: ConfigurationSnapshot): ApplyResult {
    if (!this.isNewer(snapshot.version)) {
      return 'old';
    }
    this.#records = [];
    this.#replace(snapshot);
    return 'applied';
  }

  /** Whether a version may replace the one in force. */
  protected isNewer(version: number): boolean {
    return version > this.#snapshot.version;
  }

  #replace(snapshot: ConfigurationSnapshot): void {
    this.#snapshot = snapshot;
    this.#settings = new EffectiveSettings(snapshot.content);
  }
}
