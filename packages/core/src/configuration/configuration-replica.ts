/**
 * One router's replica of the fleet's configuration. It applies the highest
 * accepted version, which it learns by polling the head row and from peers, and
 * commits operators' changes with one conditional write each. It issues one read
 * or write at a time; the I/O layer performs it and returns the response.
 */
import type { EventRecorder } from '../timeline/event';
import type { ConfigurationVersion, RouterId } from '../types/ids';
import type {
  ReadResponse,
  TableOperation,
  TableRow,
  WriteResponse,
} from '../types/platform';
import { milliseconds } from '../types/units';
import type { Instant } from '../types/units';
import type { ConfigurationContent, ConfigurationRecord } from './content';
import type { EffectiveSettings } from './effective-settings';
import type { Proposal, ProposalResult } from './proposal';
import { ProposalQueue } from './proposal-queue';
import { ConfigurationReadiness } from './configuration-readiness';
import {
  CONFIGURATION_TABLE,
  CONTENT_KEY,
  HEAD_KEY,
  parseHead,
  parseSnapshot,
} from './configuration-rows';
import type {
  ConfigurationSnapshot,
  UnreadableRow,
} from './configuration-rows';
import { StoreSchedule } from './store-schedule';
import type { StoreScheduleOptions } from './store-schedule';
import { VersionHistory } from './version-history';
import type { ApplyResult } from './version-history';

/**
 * Consecutive reads of a head below the version in force before the table is
 * reported as behind.
 */
const MAX_STALE_HEAD_READS = 5;

export type ConfigurationCommand =
  | { readonly kind: 'read'; readonly table: string; readonly key: string }
  | { readonly kind: 'write'; readonly operations: readonly TableOperation[] };

/** Fault of the stored configuration; the last valid version stays in force meanwhile. */
export type StoreProblem =
  | UnreadableRow
  | { readonly kind: 'behind'; readonly version: number }
  | { readonly kind: 'diverged'; readonly version: number };

export interface ConfigurationReplicaOptions extends StoreScheduleOptions {
  /** Initial version history; empty by default. */
  readonly versions?: VersionHistory;
}

export class ConfigurationReplica {
  readonly #recorder: EventRecorder;
  readonly #schedule: StoreSchedule;
  readonly #versions: VersionHistory;
  readonly #proposals: ProposalQueue;
  readonly #readiness = new ConfigurationReadiness();
  readonly #listeners = new Set<(version: ConfigurationVersion) => void>();
  #outstanding: ConfigurationCommand | undefined;
  #needsContent = false;
  #staleHeadReads = 0;
  #problem: StoreProblem | undefined;

  constructor(options: ConfigurationReplicaOptions) {
    this.#recorder = options.recorder;
    this.#schedule = new StoreSchedule(options);
    const versions = options.versions ?? new VersionHistory();
    this.#versions = versions;
    this.#proposals = new ProposalQueue({
      versions,
      recorder: options.recorder,
    });
  }

  get version(): ConfigurationVersion {
    return this.#versions.version;
  }

  get content(): ConfigurationContent {
    return this.#versions.content;
  }

  get settings(): EffectiveSettings {
    return this.#versions.settings;
  }

  get snapshot(): ConfigurationSnapshot {
    return this.#versions.snapshot;
  }

  /** Whether the table served the last read or write. */
  get isStoreAvailable(): boolean {
    return this.#schedule.isAvailable;
  }

  get problem(): StoreProblem | undefined {
    return this.#problem;
  }

  isReady(now: Instant): boolean {
    return this.#readiness.isReady(this.version, now);
  }

  /**
   * Calls the listener each time a higher version is applied; returns a
   * function that unsubscribes it.
   */
  subscribe(listener: (version: ConfigurationVersion) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /**
   * Queues a change whose result `takeResults` will return. Returns false when
   * the queue is full.
   */
  propose(proposal: Proposal): boolean {
    return this.#proposals.add(proposal);
  }

  takeResults(): readonly ProposalResult[] {
    return this.#proposals.takeResults();
  }

  /** Returns the next table request, if one is needed now and none is outstanding. */
  tick(now: Instant): ConfigurationCommand | undefined {
    if (this.#outstanding || this.#schedule.isPaused(now)) {
      return undefined;
    }
    this.#outstanding = this.#nextCommand(now);
    return this.#outstanding;
  }

  /** Handles the response to a `read` command. */
  onReadResponse(response: ReadResponse, now: Instant): void {
    const request = this.#outstanding;
    if (request?.kind !== 'read') {
      return;
    }
    this.#outstanding = undefined;
    switch (response.kind) {
      case 'found':
        this.#schedule.onResponse();
        this.#onRowFound(request.key, response.row, now);
        return;
      case 'absent':
        this.#schedule.onResponse();
        this.#onRowAbsent(now);
        return;
      case 'rate-limited':
        this.#schedule.pause(milliseconds(response.retryAfterMs), now);
        return;
      case 'unavailable':
        this.#onTableUnavailable(now);
        return;
    }
  }

  /** Handles the response to a `write` command. */
  onWriteResponse(response: WriteResponse, now: Instant): void {
    if (this.#outstanding?.kind !== 'write') {
      return;
    }
    this.#outstanding = undefined;
    const record = this.#proposals.pendingRecord;
    if (!record) {
      return;
    }
    switch (response.kind) {
      case 'committed':
        this.#schedule.onResponse();
        this.applyRecord(record);
        this.#proposals.settleIfAccepted();
        return;
      case 'conflict':
        this.#schedule.onResponse();
        this.#proposals.onUncertainWrite(false);
        return;
      case 'rate-limited':
        this.#schedule.pause(milliseconds(response.retryAfterMs), now);
        return;
      case 'unavailable':
        this.#onTableUnavailable(now);
        return;
      case 'unknown':
        this.#proposals.onUncertainWrite(true);
        this.#schedule.backOff(now);
        return;
    }
  }

  /** Returns the changes after a version, or undefined when some are no longer cached. */
  recordsAfter(version: number): readonly ConfigurationRecord[] | undefined {
    return this.#versions.recordsAfter(version);
  }

  /** Applies a change that this router or a peer has seen accepted. */
  applyRecord(record: ConfigurationRecord): ApplyResult {
    const applyResult = this.#versions.applyRecord(record);
    this.#onApplyResult(applyResult, record.version);
    return applyResult;
  }

  /** Validates and applies a full snapshot received from a peer. */
  applySnapshot(value: unknown): ApplyResult | 'unreadable' {
    const parsed = parseSnapshot(value);
    return parsed.ok ? this.#applyParsedSnapshot(parsed.value) : 'unreadable';
  }

  /** Records the version that a peer, itself ready, has in force. */
  applyPeerVersion(peer: RouterId, version: number, now: Instant): void {
    this.#readiness.applyPeerVersion(peer, version, now);
  }

  forgetPeer(peer: RouterId): void {
    this.#readiness.forget(peer);
  }

  /** Makes the next poll of the head row due at once. */
  pollSoon(): void {
    this.#schedule.pollSoon();
  }

  #nextCommand(now: Instant): ConfigurationCommand | undefined {
    const table = CONFIGURATION_TABLE;
    if (this.#needsContent) {
      return { kind: 'read', table, key: CONTENT_KEY };
    }
    const operations = this.#proposals.pendingWrite;
    if (operations) {
      return { kind: 'write', operations };
    }
    if (this.#proposals.hasProposals || this.#schedule.isPollDue(now)) {
      return { kind: 'read', table, key: HEAD_KEY };
    }
    return undefined;
  }

  #onRowFound(key: string, row: TableRow, now: Instant): void {
    this.#schedule.onPolled(now);
    if (key === CONTENT_KEY) {
      this.#onContentRow(row);
      return;
    }
    const head = parseHead(row.value);
    if (!head.ok) {
      this.#onUnreadableRow(head.failure);
      return;
    }
    const applyResult = this.applyRecord(head.value);
    if (applyResult === 'gap' || applyResult === 'diverged') {
      this.#needsContent = true;
      return;
    }
    if (head.value.version < this.version) {
      this.#onStaleHead(head.value.version, now);
      return;
    }
    this.#onCurrentHead(row.version, now);
  }

  #onContentRow(row: TableRow): void {
    this.#needsContent = false;
    const snapshot = parseSnapshot(row.value);
    if (!snapshot.ok) {
      this.#onUnreadableRow(snapshot.failure);
      return;
    }
    this.#applyParsedSnapshot(snapshot.value);
    this.#problem = undefined;
    this.#readiness.onTableRead();
  }

  #onRowAbsent(now: Instant): void {
    this.#schedule.onPolled(now);
    if (this.#needsContent) {
      this.#needsContent = false;
      this.#onUnreadableRow({
        kind: 'corrupt',
        row: CONTENT_KEY,
        detail: 'no row',
      });
      return;
    }
    if (this.version > 0) {
      this.#onStaleHead(0, now);
      return;
    }
    this.#onCurrentHead(undefined, now);
  }

  #onCurrentHead(rowVersion: number | undefined, now: Instant): void {
    this.#problem = undefined;
    this.#staleHeadReads = 0;
    this.#readiness.onTableRead();
    if (this.#proposals.onHeadRead(rowVersion)) {
      this.#schedule.backOff(now);
    }
  }

  /**
   * Handles a head below the version in force: either peers sent a newer version
   * before this read, or the table lost rows. No proposal is built on such a head.
   */
  #onStaleHead(version: number, now: Instant): void {
    this.#staleHeadReads += 1;
    if (this.#staleHeadReads < MAX_STALE_HEAD_READS) {
      this.#schedule.backOff(now);
      this.#schedule.pollSoon();
      return;
    }
    this.#problem = { kind: 'behind', version };
    this.#proposals.failUnlessOutcomeUnknown({ kind: 'store-behind' });
  }

  #onUnreadableRow(problem: UnreadableRow): void {
    this.#problem = problem;
    this.#readiness.onTableUnusable();
    this.#proposals.failUnlessOutcomeUnknown({ kind: 'unreadable', problem });
  }

  #onTableUnavailable(now: Instant): void {
    this.#schedule.onUnavailable(now);
    this.#readiness.onTableUnusable();
    this.#proposals.failUnlessOutcomeUnknown({ kind: 'store-unavailable' });
  }

  #applyParsedSnapshot(snapshot: ConfigurationSnapshot): ApplyResult {
    const applyResult = this.#versions.applySnapshot(snapshot);
    this.#onApplyResult(applyResult, snapshot.version);
    return applyResult;
  }

  #onApplyResult(applyResult: ApplyResult, version: number): void {
    if (applyResult === 'diverged') {
      this.#problem = { kind: 'diverged', version };
      this.#needsContent = true;
    }
    if (applyResult !== 'applied') {
      return;
    }
    this.#recorder.record('configuration-applied', { configuration: version });
    for (const listener of this.#listeners) {
      listener(this.version);
    }
    // If the response to our own write was lost, a peer's copy confirms the commit.
    this.#proposals.settleIfAccepted();
  }
}
