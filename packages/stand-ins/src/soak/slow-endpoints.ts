/** Endpoints that work as long as the path of a request says, and that crash, leave and are replaced. */
import { setTimeout as pause } from 'node:timers/promises';

import type { Random } from '@sesamegrade/core/random/random';
import { sendPacedStream } from '../deployment/broken-stream';
import { serverEntry } from '../deployment/deployment-documents';
import type { RowStoreServer } from '../deployment/row-store-server';
import {
  asksForReport,
  completeResponse,
  notExecutedResponse,
  reportResponse,
  ScriptedServer,
} from '../deployment/scripted-server';
import type { Script, ScriptedRequest } from '../deployment/scripted-server';
import type { PlannedStopRecord } from './planned-stop-record';
import { SoakInvariantChecker } from './soak-invariant-checker';

export const SLOW_SERVICE = 'slow';
const ENDPOINTS = 4;
const SLOTS = 60;
const CHANGE_INTERVAL_MS = 1500;
/** Time that a leaving endpoint still works, and that a crashed one stays listed. */
const LEAVING_MS = 7000;
const DOWN_MS = 1000;
/** Time between the troubles of endpoints that stay: a silence, or a time without room for requests. */
const TROUBLE_INTERVAL_MS = 1000;
const SILENCE_MS = { min: 1000, max: 5000 };
/** Share of the silences in which all other endpoints have no room. */
const FULL_SHARE = 0.5;
/** Share of the responses that are too long for the buffers of a connection that nobody reads. */
const LONG_SHARE = 0.05;
const LONG_BYTES = 3_000_000;
/** Time for which the end of a response may be on its way, and is lost if its endpoint crashes. */
const DELIVERY_MS = 1000;

export interface SlowEndpointsOptions {
  readonly random: Random;
  readonly store: RowStoreServer;
  readonly checker: SoakInvariantChecker;
  readonly record: PlannedStopRecord;
  /** Milliseconds since the start of the soak. */
  readonly now: () => number;
}

export class SlowEndpoints {
  readonly #options: SlowEndpointsOptions;
  readonly #servers = new Map<string, ScriptedServer>();
  /** Endpoints that are silent, and those without room, by how often they were told so. */
  readonly #silent = new Set<string>();
  readonly #full = new Map<string, number>();
  #count = 0;

  constructor(options: SlowEndpointsOptions) {
    this.#options = options;
  }

  get names(): readonly string[] {
    return [...this.#servers.keys()];
  }

  get addresses(): readonly string[] {
    return [...this.#servers.values()].map(({ address }) => address);
  }

  async open(): Promise<void> {
    while (this.#servers.size < ENDPOINTS) {
      await this.#add();
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.#servers.values()].map(each => each.stop()));
  }

  /** Replaces endpoints, some after they left and others after they crashed. */
  async run(until: number): Promise<void> {
    const changes: Promise<void>[] = [this.#disturb(until)];
    while (this.#options.now() < until) {
      await pause(CHANGE_INTERVAL_MS);
      const isCrash = this.#options.random.fraction() < 0.5;
      changes.push(this.#replaceOldest(isCrash));
    }
    await Promise.all(changes);
  }

  /** Lets endpoints fall silent for a while, and often all others refuse requests meanwhile. */
  async #disturb(until: number): Promise<void> {
    const { random, now } = this.#options;
    const troubles: Promise<void>[] = [];
    while (now() < until) {
      await pause(TROUBLE_INTERVAL_MS);
      const name = random.pick([...this.#servers.keys()]);
      const durationMs = random.integer(SILENCE_MS.min, SILENCE_MS.max);
      if (!this.#silent.has(name)) {
        troubles.push(this.#silence(name, durationMs));
        if (random.fraction() < FULL_SHARE) {
          troubles.push(this.#fillOthers(name, durationMs));
        }
      }
    }
    await Promise.all(troubles);
  }

  async #silence(name: string, durationMs: number): Promise<void> {
    const { record, now } = this.#options;
    const server = this.#servers.get(name);
    this.#silent.add(name);
    const from = now();
    server?.fallSilent();
    await pause(durationMs);
    server?.resume();
    this.#silent.delete(name);
    record.recordSilence({ endpoint: name, from, to: now() });
  }

  async #fillOthers(name: string, durationMs: number): Promise<void> {
    const others = [...this.#servers.keys()].filter(other => other !== name);
    const add = (by: number) => {
      others.forEach(other => {
        this.#full.set(other, (this.#full.get(other) ?? 0) + by);
      });
    };
    add(1);
    await pause(durationMs);
    add(-1);
  }

  async #add(): Promise<void> {
    this.#count += 1;
    const name = `${SLOW_SERVICE}-${this.#count}`;
    const version = `v${Math.ceil(this.#count / ENDPOINTS)}`;
    const born = Date.now();
    const script = this.#script(name, version, born);
    const server = await new ScriptedServer(script).start();
    this.#servers.set(name, server);
    this.#list(name, server.address, { version, born });
  }

  async #replaceOldest(isCrash: boolean): Promise<void> {
    await this.#add();
    const [name, server] = [...this.#servers][0] ?? [];
    if (!name || !server) {
      return;
    }
    this.#servers.delete(name);
    if (isCrash) {
      await server.stop();
      await pause(DOWN_MS);
    } else {
      this.#list(name, server.address, { state: 'draining' });
      await pause(LEAVING_MS);
      await server.stop();
    }
    this.#options.store.remove('servers', name);
  }

  #list(
    name: string,
    address: string,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    const entry = { service: SLOW_SERVICE, slots: SLOTS, ...fields };
    this.#options.store.write('servers', name, serverEntry(address, entry));
  }

  #script(endpoint: string, version: string, born: number): Script {
    return (request, socket) => {
      if (asksForReport(request)) {
        socket.write(reportResponse(request, born));
        return;
      }
      const id = request.headers.get('sesamegrade-request-id') ?? '';
      const { record, checker, random, now } = this.#options;
      const [, kind = '', work] = request.target.split('/');
      if (!kind.startsWith('slow-')) {
        socket.write(completeResponse(request, ''));
        return;
      }
      if ((this.#full.get(endpoint) ?? 0) > 0) {
        socket.write(notExecutedResponse(request));
        return;
      }
      const at = now();
      const workMs = Number(work);
      checker.recordRun({ request: id, endpoint, at });
      const onClose = () => {
        // The other end did neither close nor reset the connection.
        if (!socket.readableEnded && !socket.errored) {
          record.recordBreak(id, endpoint, now());
        } else {
          record.recordAbandoned(id, endpoint, now());
        }
      };
      socket.once('close', onClose);
      const onEnd = () => {
        record.recordEnd(id, endpoint, now());
        setTimeout(() => socket.off('close', onClose), DELIVERY_MS);
      };
      if (kind === 'slow-order' || kind === 'slow-lookup') {
        record.recordRun(id, endpoint, at, at + workMs);
        const isLong = random.fraction() < LONG_SHARE;
        if (isLong) {
          record.recordLong(id);
        }
        setTimeout(() => {
          if (!socket.destroyed) {
            onEnd();
          }
          socket.write(answer(request, isLong));
        }, workMs);
        return;
      }
      const origin = request.headers.get('resumes') ?? id;
      const events = SoakInvariantChecker.streamEvents(origin, version);
      const intervalMs = workMs / events.length;
      // The mark of the end follows the last event after one more interval.
      const rest =
        events.length - Number(request.headers.get('last-event-id') ?? 0);
      record.recordRun(id, endpoint, at, at + (rest + 1) * intervalMs);
      sendPacedStream(request, socket, events, intervalMs, onEnd);
    };
  }
}

function answer(request: ScriptedRequest, isLong: boolean): string {
  const id = request.headers.get('sesamegrade-request-id') ?? '';
  const body = SoakInvariantChecker.responseBody(id);
  return completeResponse(request, isLong ? body.padEnd(LONG_BYTES) : body);
}
