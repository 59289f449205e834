/** Table of the requests in flight at one router; ends requests and releases what they use. */
import type { EventRecorder } from '../timeline/event';
import { Table } from '../table/table';
import type { RequestId } from '../types/ids';
import type { RefusalReason } from '../types/refusal';
import type { Instant } from '../types/units';
import { refusalOf } from './outcome';
import type { AdmissionStep } from './steps';
import { settleCommands } from './transitions';
import type { RequestCommand, RequestRow, RequestState } from './types';

export interface RequestTableOptions {
  readonly admission: AdmissionStep;
  readonly recorder: EventRecorder;
}

export class RequestTable {
  readonly #rows = new Table<RequestId, RequestRow>();
  readonly #admission: AdmissionStep;
  readonly #recorder: EventRecorder;

  constructor(options: RequestTableOptions) {
    this.#admission = options.admission;
    this.#recorder = options.recorder;
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: RequestId): RequestRow | undefined {
    return this.#rows.get(id);
  }

  /** Returns a copy of all rows, as requests may end while the caller iterates. */
  all(): RequestRow[] {
    return [...this.#rows.rows()];
  }

  put(row: RequestRow): void {
    this.#rows.put(row);
  }

  update(row: RequestRow, fields: Partial<Omit<RequestRow, 'id'>>): RequestRow {
    const updated = { ...row, ...fields };
    this.#rows.put(updated);
    return updated;
  }

  /** Ends a request with a refusal whose outcome its state allows. */
  refuse(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const refusal = refusalOf(row, reason);
    const commands = this.#remove(row, { kind: 'refused', refusal }, now);
    this.#recorder.record(
      'request-refused',
      { request: row.id, team: row.request.team },
      { reason: reason.kind, outcome: refusal.outcome },
    );
    return [{ kind: 'refuse', request: row.id, refusal }, ...commands];
  }

  /** Ends a request whose caller has the complete response or has disconnected. */
  finish(row: RequestRow, now: Instant): RequestCommand[] {
    const commands = this.#remove(row, { kind: 'finished' }, now);
    this.#recorder.record('request-finished', {
      request: row.id,
      team: row.request.team,
    });
    return commands;
  }

  /** Removes the row, releases its slot and settles a recorded order. */
  #remove(
    row: RequestRow,
    state: RequestState,
    now: Instant,
  ): RequestCommand[] {
    this.#rows.delete(row.id);
    this.#admission.release(row.request, now);
    return settleCommands(row, state);
  }
}
