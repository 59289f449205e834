/** A router's shell around a configuration keeper, on a schedule instead of sockets. */
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

/** What one router tells another: a whole version, or the changes up to it. */
export interface VersionUpdate {
  readonly from: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly records: readonly ConfigurationRecord[];
}

/** What a router needs from the world around it. */
export interface ConfigurationEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  newVersionHistory(): VersionHistory;
  reach(
    step: ConfigurationStep,
    router: ConfigurationRouter,
  ): ExchangeFault | undefined;
  /** Carries a message to the other routers. */
  sendToPeers(router: ConfigurationRouter, message: VersionUpdate): void;
  /** Called after everything that may change the version. */
  observe(router: ConfigurationRouter): void;
  onProposalResult(router: ConfigurationRouter, result: ProposalResult): void;
}

const TICK = milliseconds(500);
const TELL_PERIOD = seconds(2);
const ROUTERS = 3;
/** Changes that a message carries at most; more go as a whole version. */
const MAX_RECORDS = 2;

export class ConfigurationRouter {
  readonly name: string;
  readonly process: Process;
  readonly replica: ConfigurationReplica;
  readonly #world: ConfigurationEnvironment;

  constructor(name: string, world: ConfigurationEnvironment) {
    this.name = name;
    this.#world = world;
    this.process = new Process(world.random);
    this.replica = new ConfigurationReplica({
      random: world.random,
      recorder: new NoopEventRecorder(),
      routerCount: () => ROUTERS,
      versions: world.newVersionHistory(),
    });
    this.replica.subscribe(() => {
      world.reach('apply', this);
    });
    this.#repeat(TICK, () => {
      this.#step();
    });
    this.#repeat(TELL_PERIOD, () => {
      this.#tell();
    });
  }

  propose(proposal: Proposal): void {
    this.process.run(() => {
      this.replica.propose(proposal);
      this.#step();
    });
  }

  /** Takes a peer's message, whenever it arrives and however often. */
  onPeerUpdate({ from, snapshot, records }: VersionUpdate): void {
    this.process.run(() => {
      const { now } = this.#world.schedule;
      this.replica.applyPeerVersion(routerId(from), snapshot.version, now);
      const adoptions = records.map(record => this.replica.applyRecord(record));
      if (records.length === 0 || adoptions.includes('gap')) {
        this.replica.applySnapshot(snapshot);
      }
      this.#world.observe(this);
    });
  }

  #step(): void {
    const command = this.replica.tick(this.#world.schedule.now);
    if (command?.kind === 'read') {
      this.#read(command);
    } else if (command) {
      this.#write(command);
    }
    for (const result of this.replica.takeResults()) {
      this.#world.onProposalResult(this, result);
    }
    this.#world.observe(this);
  }

  #read({ table, key }: Extract<ConfigurationCommand, { kind: 'read' }>): void {
    const step = key === CONTENT_KEY ? 'read-content' : 'read-head';
    const fault = this.#world.reach(step, this);
    this.process.run(() => {
      this.#world.store.read(
        table,
        key,
        fault,
        this.#once(answer => {
          this.replica.onReadResponse(answer, this.#world.schedule.now);
        }),
      );
    });
  }

  #write({
    operations,
  }: Extract<ConfigurationCommand, { kind: 'write' }>): void {
    const fault = this.#world.reach('write', this);
    this.process.run(() => {
      this.#world.store.write(
        operations,
        fault,
        this.#once(answer => {
          this.replica.onWriteResponse(answer, this.#world.schedule.now);
        }),
      );
    });
  }

  /** The shell's promise settles once, whatever arrives later. */
  #once<Answer>(take: (answer: Answer) => void): (answer: Answer) => void {
    let isTaken = false;
    return answer => {
      if (isTaken) {
        return;
      }
      isTaken = true;
      this.process.run(() => {
        take(answer);
        this.#step();
      });
    };
  }

  #tell(): void {
    const { snapshot } = this.replica;
    const after = Math.max(0, snapshot.version - MAX_RECORDS);
    const records = this.replica.recordsAfter(after) ?? [];
    this.#world.sendToPeers(this, { from: this.name, snapshot, records });
  }

  #repeat(period: Milliseconds, action: () => void): void {
    this.#world.schedule.after(period, () => {
      this.process.run(action);
      if (this.process.state !== 'dead') {
        this.#repeat(period, action);
      }
    });
  }
}
