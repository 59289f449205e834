/**
 * Queue of operators' configuration changes, which are committed one at a time.
 * A change counts as committed only if the table confirmed its write or an
 * accepted version carries its change id.
 */
import type { EventRecorder } from '../timeline/event';
import { configurationVersion } from '../types/ids';
import type { TableOperation } from '../types/platform';
import { changeProblem } from './change-check';
import { contentHash } from './content';
import type { ConfigurationRecord } from './content';
import type {
  Proposal,
  ProposalOutcome,
  ProposalResult,
  ProposalState,
  WriteAttempt,
} from './proposal';
import {
  CONFIGURATION_TABLE,
  CONTENT_KEY,
  HEAD_KEY,
  encodeHead,
} from './configuration-rows';
import type { VersionHistory } from './version-history';

const MAX_QUEUED_PROPOSALS = 64;

/** Returns the writes of a version's two rows, which take effect in one transaction. */
function writeOperations(attempt: WriteAttempt): readonly TableOperation[] {
  const { record, snapshot, base } = attempt;
  return [
    {
      table: CONFIGURATION_TABLE,
      key: HEAD_KEY,
      condition:
        base === undefined
          ? { kind: 'absent' }
          : { kind: 'version', version: base },
      change: { kind: 'put', value: encodeHead(record) },
    },
    {
      table: CONFIGURATION_TABLE,
      key: CONTENT_KEY,
      condition: { kind: 'none' },
      change: { kind: 'put', value: snapshot },
    },
  ];
}

export interface ProposalQueueOptions {
  readonly versions: VersionHistory;
  readonly recorder: EventRecorder;
}

export class ProposalQueue {
  readonly #versions: VersionHistory;
  readonly #recorder: EventRecorder;
  readonly #queue: Proposal[] = [];
  #state: ProposalState = { step: 'read' };
  #results: ProposalResult[] = [];

  constructor(options: ProposalQueueOptions) {
    this.#versions = options.versions;
    this.#recorder = options.recorder;
  }

  get hasProposals(): boolean {
    return this.#queue.length > 0;
  }

  /** Operations of the write to send now; undefined until the head was read for it. */
  get pendingWrite(): readonly TableOperation[] | undefined {
    return this.#state.step === 'write'
      ? writeOperations(this.#state.attempt)
      : undefined;
  }

  /** Record of the write that is being sent. */
  get pendingRecord(): ConfigurationRecord | undefined {
    return this.#state.step === 'write'
      ? this.#state.attempt.record
      : undefined;
  }

  add(proposal: Proposal): boolean {
    if (this.#queue.length >= MAX_QUEUED_PROPOSALS) {
      return false;
    }
    this.#queue.push(proposal);
    return true;
  }

  takeResults(): readonly ProposalResult[] {
    const results = this.#results;
    this.#results = [];
    return results;
  }

  /**
   * Handles a read head whose version is in force; returns whether the next
   * write must back off.
   */
  onHeadRead(rowVersion: number | undefined): boolean {
    const [proposal] = this.#queue;
    if (!proposal || this.settleIfAccepted()) {
      return false;
    }
    if (this.#state.step === 'read') {
      this.#buildWrite(proposal, rowVersion);
      return false;
    }
    return this.#settle(this.#state.attempt, rowVersion);
  }

  /**
   * Finishes the current proposal if an accepted version carries its change id;
   * returns whether one does.
   */
  settleIfAccepted(): boolean {
    const [proposal] = this.#queue;
    const accepted =
      proposal && this.#versions.findByChangeId(proposal.changeId);
    if (accepted) {
      const version = configurationVersion(accepted.version);
      this.finish({ kind: 'committed', version });
    }
    return accepted !== undefined;
  }

  /** Has the head read again, because the response did not confirm the write. */
  onUncertainWrite(isOutcomeUnknown: boolean): void {
    if (this.#state.step === 'write') {
      const { attempt } = this.#state;
      const updated = {
        ...attempt,
        isOutcomeUnknown: attempt.isOutcomeUnknown || isOutcomeUnknown,
      };
      this.#state = { step: 'settle', attempt: updated };
    }
  }

  /** Fails the current proposal, unless a write of it may have taken effect. */
  failUnlessOutcomeUnknown(outcome: ProposalOutcome): void {
    const isOutcomeUnknown =
      this.#state.step !== 'read' && this.#state.attempt.isOutcomeUnknown;
    if (!isOutcomeUnknown) {
      this.finish(outcome);
    }
  }

  finish(outcome: ProposalOutcome): void {
    const proposal = this.#queue.shift();
    this.#state = { step: 'read' };
    if (!proposal) {
      return;
    }
    this.#results.push({ changeId: proposal.changeId, outcome });
    if (outcome.kind === 'committed') {
      const links = { configuration: outcome.version };
      const detail = { changeId: proposal.changeId, who: proposal.who };
      this.#recorder.record('configuration-accepted', links, detail);
    }
  }

  #buildWrite(proposal: Proposal, base: number | undefined): void {
    const { changeId, who, when, change, expected } = proposal;
    const current = this.#versions.version;
    if (expected !== undefined && expected !== current) {
      this.#finishLost(current);
      return;
    }
    const problem = changeProblem(this.#versions.content, change);
    if (problem) {
      this.finish({ kind: 'invalid', problem });
      return;
    }
    const draft = { version: current + 1, changeId, who, when, change };
    const snapshot = this.#versions.preview({ ...draft, hash: 0 });
    const record = { ...draft, hash: contentHash(snapshot.content) };
    const attempt = { record, snapshot, base, isOutcomeUnknown: false };
    this.#state = { step: 'write', attempt };
  }

  #settle(attempt: WriteAttempt, rowVersion: number | undefined): boolean {
    if (attempt.base === rowVersion) {
      // The write may still be in transit; sending the same write again settles it.
      this.#state = { step: 'write', attempt };
      return true;
    }
    this.#finishLost(attempt.record.version);
    return false;
  }

  #finishLost(version: number): void {
    const winner = this.#versions.findByVersion(version);
    this.finish(winner ? { kind: 'conflict', winner } : { kind: 'unsettled' });
  }
}
