/** The rows of all requests of one router, and how each of them ends. */
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

  /** Returns all rows; rows may end while the caller goes through them. */
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

  /** Ends a request with a refusal that its state allows. */
  refuse(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const refusal = refusalOf(row, reason);
    const settling = this.#remove(row, { kind: 'refused', refusal }, now);
    this.#recorder.record(
      'request-refused',
      { request: row.id, team: row.request.team },
      { reason: reason.kind, outcome: refusal.outcome },
    );
    return [{ kind: 'refuse', request: row.id, refusal }, ...settling];
  }

  /** Ends a request whose caller has its answer, or is gone. */
  finish(row: RequestRow, now: Instant): RequestCommand[] {
    const settling = this.#remove(row, { kind: 'finished' }, now);
    this.#recorder.record('request-finished', {
      request: row.id,
      team: row.request.team,
    });
    return settling;
  }

  /** Removes the row, returns its slot and settles a recorded order. */
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
