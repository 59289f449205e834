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
export interface PeerMessage {
  readonly from: string;
  readonly snapshot: ConfigurationSnapshot;
  readonly records: readonly ConfigurationRecord[];
}

/** What a router needs from the world around it. */
export interface ConfigurationSurroundings {
  readonly schedule: Schedule;
  readonly random: Random;
  readonly store: FaultyStore;
  newVersions(): VersionHistory;
  reach(
    step: ConfigurationStep,
    router: ConfigurationRouter,
  ): ExchangeFault | undefined;
  /** Carries a message to the other routers. */
  tellPeers(router: ConfigurationRouter, message: PeerMessage): void;
  /** Called after everything that may change the version. */
  observe(router: ConfigurationRouter): void;
  ended(router: ConfigurationRouter, result: ProposalResult): void;
}

const TICK = milliseconds(500);
const TELL_PERIOD = seconds(2);
const ROUTERS = 3;
/** Changes that a message carries at most; more go as a whole version. */
const MAX_RECORDS = 2;

export class ConfigurationRouter {
  readonly name: string;
  readonly process: Process;
  readonly keeper: ConfigurationReplica;
  readonly #world: ConfigurationSurroundings;

  constructor(name: string, world: ConfigurationSurroundings) {
    this.name = name;
    this.#world = world;
    this.process = new Process(world.random);
    this.keeper = new ConfigurationReplica({
      random: world.random,
      recorder: new NoopEventRecorder(),
      routerCount: () => ROUTERS,
      versions: world.newVersions(),
    });
    this.keeper.subscribe(() => {
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
      this.keeper.propose(proposal);
      this.#step();
    });
  }

  /** Takes a peer's message, whenever it arrives and however often. */
  hear({ from, snapshot, records }: PeerMessage): void {
    this.process.run(() => {
      const { now } = this.#world.schedule;
      this.keeper.applyPeerVersion(routerId(from), snapshot.version, now);
      const adoptions = records.map(record => this.keeper.applyRecord(record));
      if (records.length === 0 || adoptions.includes('gap')) {
        this.keeper.applySnapshot(snapshot);
      }
      this.#world.observe(this);
    });
  }

  #step(): void {
    const command = this.keeper.tick(this.#world.schedule.now);
    if (command?.kind === 'read') {
      this.#read(command);
    } else if (command) {
      this.#write(command);
    }
    for (const result of this.keeper.takeResults()) {
      this.#world.ended(this, result);
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
          this.keeper.onReadResponse(answer, this.#world.schedule.now);
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
          this.keeper.onWriteResponse(answer, this.#world.schedule.now);
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
    const { snapshot } = this.keeper;
    const after = Math.max(0, snapshot.version - MAX_RECORDS);
    const records = this.keeper.recordsAfter(after) ?? [];
    this.#world.tellPeers(this, { from: this.name, snapshot, records });
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
