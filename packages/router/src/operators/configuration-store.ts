/** Runs the configuration keeper against the platform's table. */
import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type {
  Proposal,
  ProposalOutcome,
} from '@sesamegrade/core/configuration/proposal';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { ChangeId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { PlatformClient } from '../platform-client/platform-client';

const TICK_PERIOD = milliseconds(100);

/** A proposal cannot be taken because too many are waiting. */
export interface TooManyProposals {
  readonly kind: 'too-many-proposals';
}

type ResolveProposal = (outcome: ProposalOutcome) => void;

export interface ConfigurationStoreOptions {
  readonly configuration: ConfigurationReplica;
  readonly platform: PlatformClient;
  readonly timers: TimerService;
}

export class ConfigurationStore {
  readonly #configuration: ConfigurationReplica;
  readonly #platform: PlatformClient;
  readonly #timers: TimerService;
  readonly #waiting = new Map<ChangeId, ResolveProposal[]>();

  constructor(options: ConfigurationStoreOptions) {
    this.#configuration = options.configuration;
    this.#platform = options.platform;
    this.#timers = options.timers;
  }

  /** Begins to poll; returns a function that ends it. */
  start(): () => void {
    void this.#run();
    return this.#timers.every(TICK_PERIOD, () => {
      void this.#run();
    });
  }

  /** Proposes a change; resolves when it is known what became of it. */
  propose(proposal: Proposal): Promise<ProposalOutcome | TooManyProposals> {
    const { changeId } = proposal;
    const waiting = this.#waiting.get(changeId);
    if (!waiting && !this.#configuration.propose(proposal)) {
      return Promise.resolve({ kind: 'too-many-proposals' });
    }
    return new Promise(resolve => {
      this.#waiting.set(changeId, [...(waiting ?? []), resolve]);
      void this.#run();
    });
  }

  /** Carries out calls to the table until none is due. */
  async #run(): Promise<void> {
    let called = true;
    while (called) {
      called = await this.#call();
      this.#settle();
    }
  }

  async #call(): Promise<boolean> {
    const command = this.#configuration.tick(this.#timers.now());
    if (!command) {
      return false;
    }
    if (command.kind === 'read') {
      const answer = await this.#platform.read(command.table, command.key);
      this.#configuration.onReadResponse(answer, this.#timers.now());
    } else {
      const answer = await this.#platform.write(command.operations);
      this.#configuration.onWriteResponse(answer, this.#timers.now());
    }
    return true;
  }

  #settle(): void {
    for (const { changeId, outcome } of this.#configuration.takeResults()) {
      const waiting = this.#waiting.get(changeId) ?? [];
      this.#waiting.delete(changeId);
      for (const settle of waiting) {
        settle(outcome);
      }
    }
  }
}
