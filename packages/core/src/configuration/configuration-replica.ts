/**
 * Keeps the highest accepted configuration in force at one router. It polls the
 * head row, takes versions from peers, and proposes operators' changes by one
 * conditional write each. It asks for one read or write at a time; the shell
 * carries it out and hands the answer back.
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

/** Heads below the version in force until the table is held to have lost rows. */
const MAX_BEHIND_READS = 5;

export type ConfigurationCommand =
  | { readonly kind: 'read'; readonly table: string; readonly key: string }
  | { readonly kind: 'write'; readonly operations: readonly TableOperation[] };

/** What is wrong with the stored configuration while the last good one stays in force. */
export type StoreProblem =
  | UnreadableRow
  | { readonly kind: 'behind'; readonly version: number }
  | { readonly kind: 'diverged'; readonly version: number };

export interface ConfigurationReplicaOptions extends StoreScheduleOptions {
  /** The versions to start from; none when absent. */
  readonly versions?: VersionHistory;
}

export class ConfigurationReplica {
  readonly #recorder: EventRecorder;
  readonly #schedule: StoreSchedule;
  readonly #versions: VersionHistory;
  readonly #desk: ProposalQueue;
  readonly #readiness = new ConfigurationReadiness();
  readonly #listeners = new Set<(version: ConfigurationVersion) => void>();
  #outstanding: ConfigurationCommand | undefined;
  #needsContent = false;
  #behindReads = 0;
  #problem: StoreProblem | undefined;

  constructor(options: ConfigurationReplicaOptions) {
    this.#recorder = options.recorder;
    this.#schedule = new StoreSchedule(options);
    const versions = options.versions ?? new VersionHistory();
    this.#versions = versions;
    this.#desk = new ProposalQueue({ versions, recorder: options.recorder });
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

  /** Whether the last read or write reached the table. */
  get isStoreAvailable(): boolean {
    return this.#schedule.isAvailable;
  }

  get problem(): StoreProblem | undefined {
    return this.#problem;
  }

  isReady(now: Instant): boolean {
    return this.#readiness.isReady(this.version, now);
  }

  /** Calls the listener at each rise of the version; returns a function that ends it. */
  subscribe(listener: (version: ConfigurationVersion) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Queues a change; its end comes from `takeResults`. Returns false when the queue is full. */
  propose(proposal: Proposal): boolean {
    return this.#desk.add(proposal);
  }

  takeResults(): readonly ProposalResult[] {
    return this.#desk.takeResults();
  }

  /** Returns the next call to the table, if one is due and none is under way. */
  tick(now: Instant): ConfigurationCommand | undefined {
    if (this.#outstanding || this.#schedule.isPaused(now)) {
      return undefined;
    }
    this.#outstanding = this.#nextCommand(now);
    return this.#outstanding;
  }

  /** Takes the answer to a `read`. */
  onReadResponse(answer: ReadResponse, now: Instant): void {
    const asked = this.#outstanding;
    if (asked?.kind !== 'read') {
      return;
    }
    this.#outstanding = undefined;
    switch (answer.kind) {
      case 'found':
        this.#schedule.onResponse();
        this.#found(asked.key, answer.row, now);
        return;
      case 'absent':
        this.#schedule.onResponse();
        this.#absent(now);
        return;
      case 'rate-limited':
        this.#schedule.pause(milliseconds(answer.retryAfterMs), now);
        return;
      case 'unavailable':
        this.#unavailable(now);
        return;
    }
  }

  /** Takes the answer to a `write`. */
  onWriteResponse(answer: WriteResponse, now: Instant): void {
    if (this.#outstanding?.kind !== 'write') {
      return;
    }
    this.#outstanding = undefined;
    const record = this.#desk.pendingRecord;
    if (!record) {
      return;
    }
    switch (answer.kind) {
      case 'committed':
        this.#schedule.onResponse();
        this.applyRecord(record);
        this.#desk.settleIfAccepted();
        return;
      case 'conflict':
        this.#schedule.onResponse();
        this.#desk.onUncertainWrite(false);
        return;
      case 'rate-limited':
        this.#schedule.pause(milliseconds(answer.retryAfterMs), now);
        return;
      case 'unavailable':
        this.#unavailable(now);
        return;
      case 'unknown':
        this.#desk.onUncertainWrite(true);
        this.#schedule.backOff(now);
        return;
    }
  }

  /** Returns the changes after a version, or nothing when they are not kept. */
  recordsAfter(version: number): readonly ConfigurationRecord[] | undefined {
    return this.#versions.recordsAfter(version);
  }

  /** Takes a change that was accepted, here or at a peer. */
  applyRecord(record: ConfigurationRecord): ApplyResult {
    const adoption = this.#versions.applyRecord(record);
    this.#adopted(adoption, record.version);
    return adoption;
  }

  /** Takes a whole version that a peer handed over. */
  applySnapshot(value: unknown): ApplyResult | 'unreadable' {
    const parsed = parseSnapshot(value);
    return parsed.ok ? this.#adoptSnapshot(parsed.value) : 'unreadable';
  }

  /** A peer that is ready told which version it has in force. */
  applyPeerVersion(peer: RouterId, version: number, now: Instant): void {
    this.#readiness.applyPeerVersion(peer, version, now);
  }

  forgetPeer(peer: RouterId): void {
    this.#readiness.forget(peer);
  }

  /** Asks for the table to be read at the next tick. */
  pollSoon(): void {
    this.#schedule.pollSoon();
  }

  #nextCommand(now: Instant): ConfigurationCommand | undefined {
    const table = CONFIGURATION_TABLE;
    if (this.#needsContent) {
      return { kind: 'read', table, key: CONTENT_KEY };
    }
    const operations = this.#desk.pendingWrite;
    if (operations) {
      return { kind: 'write', operations };
    }
    if (this.#desk.hasProposals || this.#schedule.isPollDue(now)) {
      return { kind: 'read', table, key: HEAD_KEY };
    }
    return undefined;
  }

  #found(key: string, row: TableRow, now: Instant): void {
    this.#schedule.onPolled(now);
    if (key === CONTENT_KEY) {
      this.#contentFound(row);
      return;
    }
    const head = parseHead(row.value);
    if (!head.ok) {
      this.#unreadable(head.failure);
      return;
    }
    const adoption = this.applyRecord(head.value);
    if (adoption === 'gap' || adoption === 'diverged') {
      this.#needsContent = true;
      return;
    }
    if (head.value.version < this.version) {
      this.#behind(head.value.version, now);
      return;
    }
    this.#headCurrent(row.version, now);
  }

  #contentFound(row: TableRow): void {
    this.#needsContent = false;
    const snapshot = parseSnapshot(row.value);
    if (!snapshot.ok) {
      this.#unreadable(snapshot.failure);
      return;
    }
    this.#adoptSnapshot(snapshot.value);
    this.#problem = undefined;
    this.#readiness.onTableRead();
  }

  #absent(now: Instant): void {
    this.#schedule.onPolled(now);
    if (this.#needsContent) {
      this.#needsContent = false;
      this.#unreadable({ kind: 'corrupt', row: CONTENT_KEY, detail: 'no row' });
      return;
    }
    if (this.version > 0) {
      this.#behind(0, now);
      return;
    }
    this.#headCurrent(undefined, now);
  }

  #headCurrent(rowVersion: number | undefined, now: Instant): void {
    this.#problem = undefined;
    this.#behindReads = 0;
    this.#readiness.onTableRead();
    if (this.#desk.onHeadRead(rowVersion)) {
      this.#schedule.backOff(now);
    }
  }

  /**
   * A head below the version in force: peers were faster than this read, or
   * rows were lost. Nothing is built on it.
   */
  #behind(version: number, now: Instant): void {
    this.#behindReads += 1;
    if (this.#behindReads < MAX_BEHIND_READS) {
      this.#schedule.backOff(now);
      this.#schedule.pollSoon();
      return;
    }
    this.#problem = { kind: 'behind', version };
    this.#desk.failUnlessOutcomeUnknown({ kind: 'store-behind' });
  }

  #unreadable(problem: UnreadableRow): void {
    this.#problem = problem;
    this.#readiness.onTableUnusable();
    this.#desk.failUnlessOutcomeUnknown({ kind: 'unreadable', problem });
  }

  #unavailable(now: Instant): void {
    this.#schedule.onUnavailable(now);
    this.#readiness.onTableUnusable();
    this.#desk.failUnlessOutcomeUnknown({ kind: 'store-unavailable' });
  }

  #adoptSnapshot(snapshot: ConfigurationSnapshot): ApplyResult {
    const adoption = this.#versions.applySnapshot(snapshot);
    this.#adopted(adoption, snapshot.version);
    return adoption;
  }

  #adopted(adoption: ApplyResult, version: number): void {
    if (adoption === 'diverged') {
      this.#problem = { kind: 'diverged', version };
      this.#needsContent = true;
    }
    if (adoption !== 'applied') {
      return;
    }
    this.#recorder.record('configuration-applied', { configuration: version });
    for (const listener of this.#listeners) {
      listener(this.version);
    }
    // A change whose answer was lost may come back from a peer that read it.
    this.#desk.settleIfAccepted();
  }
}
