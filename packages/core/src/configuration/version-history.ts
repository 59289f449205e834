/** The version in force at one router and the changes that led to it; it only ever rises. */
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

/** Changes kept to bring peers up to date without the whole content. */
const MAX_RECORDS = 64;

/** What became of a version that was offered. */
export type ApplyResult =
  | 'applied'
  /** Not above the version in force. */
  | 'old'
  /** Changes in between are missing. */
  | 'gap'
  /** The result is not what the router that accepted it had. */
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

  /** Returns the accepted version of this number, when it is recent. */
  findByVersion(version: number): AcceptedVersion | undefined {
    return this.#snapshot.recent.find(entry => entry.version === version);
  }

  /** Returns the recent version that a change became. */
  findByChangeId(changeId: string): AcceptedVersion | undefined {
    return this.#snapshot.recent.find(entry => entry.changeId === changeId);
  }

  /** Returns the changes after a version, or nothing when they are not kept. */
  recordsAfter(version: number): readonly ConfigurationRecord[] | undefined {
    const records = this.#records.filter(record => record.version > version);
    const complete = version + records.length === this.#snapshot.version;
    return complete ? records : undefined;
  }

  /** Returns the snapshot that a record would lead to. */
  preview(record: ConfigurationRecord): ConfigurationSnapshot {
    const { version, changeId, who, when, change } = record;
    const content = applyChange(this.content, change, { who, when });
    const accepted = { version, changeId, who, when };
    return createSnapshot(version, content, [
      ...this.#snapshot.recent,
      accepted,
    ]);
  }

  /** Goes one version on by a change. */
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
    this.#adopt(next);
    return 'applied';
  }

  /** Takes over a whole version. */
  applySnapshot(snapshot: ConfigurationSnapshot): ApplyResult {
    if (!this.isNewer(snapshot.version)) {
      return 'old';
    }
    this.#records = [];
    this.#adopt(snapshot);
    return 'applied';
  }

  /** Whether a version may take the place of the one in force. */
  protected isNewer(version: number): boolean {
    return version > this.#snapshot.version;
  }

  #adopt(snapshot: ConfigurationSnapshot): void {
    this.#snapshot = snapshot;
    this.#settings = new EffectiveSettings(snapshot.content);
  }
}
