/** Runs the commands of the configuration replica on the platform's table. */
import type { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type {
  Proposal,
  ProposalOutcome,
} from '@sesamegrade/core/configuration/proposal';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { ChangeId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { PlatformClient } from '../platform-client/platform-client';

const TICK_PERIOD = milliseconds(100);

/** The proposal was not accepted because too many are pending. */
export interface TooManyProposals {
  readonly kind: 'too-many-proposals';
}

type ResolveProposal = (outcome: ProposalOutcome) => void;

export interface ConfigurationStoreOptions {
  readonly configuration: ConfigurationReplica;
  readonly platform: PlatformClient;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
}

export class ConfigurationStore {
  readonly #configuration: ConfigurationReplica;
  readonly #platform: PlatformClient;
  readonly #timers: TimerService;
  readonly #backgroundTasks: BackgroundTasks;
  readonly #pending = new Map<ChangeId, ResolveProposal[]>();

  constructor(options: ConfigurationStoreOptions) {
    this.#configuration = options.configuration;
    this.#platform = options.platform;
    this.#timers = options.timers;
    this.#backgroundTasks = options.backgroundTasks;
  }

  /** Starts to poll the table; returns a function that stops it. */
  start(): () => void {
    this.#startRun();
    return this.#timers.every(TICK_PERIOD, () => {
      this.#startRun();
    });
  }

  /** Proposes a change; resolves to its outcome. A proposal with the id of a pending one shares its outcome. */
  propose(proposal: Proposal): Promise<ProposalOutcome | TooManyProposals> {
    const { changeId } = proposal;
    const pending = this.#pending.get(changeId);
    if (!pending && !this.#configuration.propose(proposal)) {
      return Promise.resolve({ kind: 'too-many-proposals' });
    }
    return new Promise(resolve => {
      this.#pending.set(changeId, [...(pending ?? []), resolve]);
      this.#startRun();
    });
  }

  #startRun(): void {
    this.#backgroundTasks.run('configuration-calls', () => this.#run());
  }

  /** Runs table calls until the replica has no further command. */
  async #run(): Promise<void> {
    let hasCalled = true;
    while (hasCalled) {
      hasCalled = await this.#call();
      this.#resolveProposals();
    }
  }

  async #call(): Promise<boolean> {
    const command = this.#configuration.tick(this.#timers.now());
    if (!command) {
      return false;
    }
    if (command.kind === 'read') {
      const response = await this.#platform.read(command.table, command.key);
      this.#configuration.onReadResponse(response, this.#timers.now());
    } else {
      const response = await this.#platform.write(command.operations);
      this.#configuration.onWriteResponse(response, this.#timers.now());
    }
    return true;
  }

  #resolveProposals(): void {
    for (const { changeId, outcome } of this.#configuration.takeResults()) {
      const pending = this.#pending.get(changeId) ?? [];
      this.#pending.delete(changeId);
      for (const resolve of pending) {
        resolve(outcome);
      }
    }
  }
}
