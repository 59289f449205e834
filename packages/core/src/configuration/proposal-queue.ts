/**
 * Brings one operator's change after the other to an end. Only a write that the
 * table confirmed, or a stored version with the change's own id, is a commit.
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

/** The two rows of one version, written whole or not at all. */
function operationsOf(attempt: WriteAttempt): readonly TableOperation[] {
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

  /** The write that may be sent now, if the head was read for it. */
  get pendingWrite(): readonly TableOperation[] | undefined {
    return this.#state.step === 'write'
      ? operationsOf(this.#state.attempt)
      : undefined;
  }

  /** The change of the write that was sent last. */
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

  /** The head was read and is in force; returns whether a write must wait a little. */
  onHeadRead(rowVersion: number | undefined): boolean {
    const [proposal] = this.#queue;
    if (!proposal || this.settleIfAccepted()) {
      return false;
    }
    if (this.#state.step === 'read') {
      this.#build(proposal, rowVersion);
      return false;
    }
    return this.#settle(this.#state.attempt, rowVersion);
  }

  /** Ends the change at hand when a version with its id is in force. */
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

  /** The write's answer leaves open whether it, or another, took effect. */
  onUncertainWrite(isOutcomeUnknown: boolean): void {
    if (this.#state.step === 'write') {
      const { attempt } = this.#state;
      const marked = {
        ...attempt,
        isOutcomeUnknown: attempt.isOutcomeUnknown || isOutcomeUnknown,
      };
      this.#state = { step: 'settle', attempt: marked };
    }
  }

  /** Ends the change at hand, unless a write of it may have taken effect. */
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

  #build(proposal: Proposal, base: number | undefined): void {
    const { changeId, who, when, change, expected } = proposal;
    const current = this.#versions.version;
    if (expected !== undefined && expected !== current) {
      this.#lost(current);
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
      // The write may still be on its way; the same one again settles it.
      this.#state = { step: 'write', attempt };
      return true;
    }
    this.#lost(attempt.record.version);
    return false;
  }

  #lost(version: number): void {
    const winner = this.#versions.findByVersion(version);
    this.finish(winner ? { kind: 'conflict', winner } : { kind: 'unsettled' });
  }
}
