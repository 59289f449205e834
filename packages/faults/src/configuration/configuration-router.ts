/**
 * Simulates the I/O layer of a router around a configuration replica, in
 * virtual time without sockets.
 */
import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import type { ConfigurationCommand } from '@sesamegrade/core/configuration/configuration-replica';
import type { ConfigurationRecord } from '@sesamegrade/core/configuration/content';
import type {
  Proposal,
  ProposalResult,
} from '@sesamegrade/core/configuration/proposal';
import { CONTENT_KEY } from '@sesamegrade/core/configuration/configuration-rows';
import type { ConfigurationSnapshot } from '@sesamegrade/core/configuration/configuration-rows';
import type { VersionHistory } from '@sesamegrade/core/configuration/version-history';
import type { Random } from '@sesamegrade/core/random/random';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { routerId } from '@sesamegrade/core/types/ids';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import type { FaultyStore } from '../simulation/faulty-store';
import { Process } from '../simulation/process';
import type { Schedule } from '../simulation/schedule';

export const CONFIGURATION_STEPS = [
  'propose',
  'read-head',
  'read-content',
  'write',
  'apply',
  'tell-peer',
] as const;

export type ConfigurationStep = (typeof CONFIGURATION_STEPS)[number];

/**
 * Update from one router to another: a whole version, and the latest changes up
 * to it if known.
 */
export interface VersionUpdate {
  readonly from: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly records: readonly ConfigurationRecord[];
}

/** The simulation as a router uses it. */
export interface ConfigurationEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  newVersionHistory(): VersionHistory;
  /**
   * Counts a step, injects its faults and returns the fault of the current
   * exchange, if any.
   */
  reach(
    step: ConfigurationStep,
    router: ConfigurationRouter,
  ): ExchangeFault | undefined;
  /** Sends an update to all other routers. */
  sendToPeers(router: ConfigurationRouter, update: VersionUpdate): void;
  /** Called after each action that can change the version in force. */
  observe(router: ConfigurationRouter): void;
  onProposalResult(router: ConfigurationRouter, result: ProposalResult): void;
}

const TICK = milliseconds(500);
const UPDATE_PERIOD = seconds(2);
const ROUTERS = 3;
/** Max changes in an update; a router that lacks more applies the whole version. */
const MAX_RECORDS = 2;

export class ConfigurationRouter {
  readonly name: string;
  readonly process: Process;
  readonly replica: ConfigurationReplica;
  readonly #environment: ConfigurationEnvironment;

  constructor(name: string, environment: ConfigurationEnvironment) {
    this.name = name;
    this.#environment = environment;
    this.process = new Process(environment.random);
    this.replica = new ConfigurationReplica({
      random: environment.random,
      recorder: new NoopEventRecorder(),
      routerCount: () => ROUTERS,
      versions: environment.newVersionHistory(),
    });
    this.replica.subscribe(() => {
      environment.reach('apply', this);
    });
    this.#repeat(TICK, () => {
      this.#tick();
    });
    this.#repeat(UPDATE_PERIOD, () => {
      this.#sendUpdate();
    });
  }

  propose(proposal: Proposal): void {
    this.process.run(() => {
      this.replica.propose(proposal);
      this.#tick();
    });
  }

  /** Applies a peer's update, which may arrive late, out of order or repeatedly. */
  onPeerUpdate({ from, snapshot, records }: VersionUpdate): void {
    this.process.run(() => {
      const { now } = this.#environment.schedule;
      this.replica.applyPeerVersion(routerId(from), snapshot.version, now);
      const results = records.map(record => this.replica.applyRecord(record));
      if (records.length === 0 || results.includes('gap')) {
        this.replica.applySnapshot(snapshot);
      }
      this.#environment.observe(this);
    });
  }

  #tick(): void {
    const command = this.replica.tick(this.#environment.schedule.now);
    if (command?.kind === 'read') {
      this.#read(command);
    } else if (command) {
      this.#write(command);
    }
    for (const result of this.replica.takeResults()) {
      this.#environment.onProposalResult(this, result);
    }
    this.#environment.observe(this);
  }

  #read({ table, key }: Extract<ConfigurationCommand, { kind: 'read' }>): void {
    const step = key === CONTENT_KEY ? 'read-content' : 'read-head';
    const fault = this.#environment.reach(step, this);
    this.process.run(() => {
      this.#environment.store.read(
        table,
        key,
        fault,
        this.#once(response => {
          this.replica.onReadResponse(response, this.#environment.schedule.now);
        }),
      );
    });
  }

  #write({
    operations,
  }: Extract<ConfigurationCommand, { kind: 'write' }>): void {
    const fault = this.#environment.reach('write', this);
    this.process.run(() => {
      this.#environment.store.write(
        operations,
        fault,
        this.#once(response => {
          this.replica.onWriteResponse(
            response,
            this.#environment.schedule.now,
          );
        }),
      );
    });
  }

  /**
   * Passes on only the first response, as a promise of the I/O layer settles
   * once.
   */
  #once<StoreResponse>(
    handle: (response: StoreResponse) => void,
  ): (response: StoreResponse) => void {
    let isHandled = false;
    return response => {
      if (isHandled) {
        return;
      }
      isHandled = true;
      this.process.run(() => {
        handle(response);
        this.#tick();
      });
    };
  }

  #sendUpdate(): void {
    const { snapshot } = this.replica;
    const after = Math.max(0, snapshot.version - MAX_RECORDS);
    const records = this.replica.recordsAfter(after) ?? [];
    this.#environment.sendToPeers(this, { from: this.name, snapshot, records });
  }

  #repeat(period: Milliseconds, action: () => void): void {
    this.#environment.schedule.after(period, () => {
      this.process.run(action);
      if (this.process.state !== 'dead') {
        this.#repeat(period, action);
      }
    });
  }
}
