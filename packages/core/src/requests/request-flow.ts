/** Leads every request from arrival to its end; takes messages, gives commands. */
import { SilentRecorder } from '../timeline/event';
import type { EventRecorder } from '../timeline/event';
import { Table } from '../table/table';
import { attemptId } from '../types/ids';
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import type { RefusalReason } from '../types/refusal';
import { addTime, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { refusalOf } from './outcome';
import {
  endingOf,
  isRepeatable,
  isRunning,
  newRow,
  retrying,
  settlementOf,
} from './transitions';
import type {
  AdmissionAnswer,
  AdmissionStep,
  AttemptEnding,
  PlacingStep,
  RetryStep,
} from './steps';
import type {
  Breakage,
  Request,
  RequestCommand,
  RequestMessage,
  RequestRow,
  RequestState,
} from './types';

/** Policies and limits of a flow. */
export interface RequestFlowOptions {
  readonly admission: AdmissionStep;
  readonly placing: PlacingStep;
  readonly retrying: RetryStep;
  /** Longest wait for an endpoint below its bound. */
  readonly placementWait: Milliseconds;
  /** Makes attempt ids unique over routers and restarts. */
  readonly attemptPrefix: string;
  readonly recorder?: EventRecorder;
}

type AttemptMessage = Extract<
  RequestMessage,
  { request: RequestId; attempt: AttemptId }
>;

const IMMEDIATELY = milliseconds(0);

/** State machine of all requests of one router. */
export class RequestFlow {
  readonly #rows = new Table<RequestId, RequestRow>();
  readonly #options: RequestFlowOptions;
  readonly #recorder: EventRecorder;
  #nextAttempt = 1;

  constructor(options: RequestFlowOptions) {
    this.#options = options;
    this.#recorder = options.recorder ?? new SilentRecorder();
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.#rows.size;
  }

  row(id: RequestId): RequestRow | undefined {
    return this.#rows.get(id);
  }

  handle(message: RequestMessage, now: Instant): RequestCommand[] {
    if (message.kind === 'arrived') {
      return this.#arrive(message.request, now);
    }
    if (message.kind === 'reattached') {
      return this.#reattach(message, now);
    }
    const row = this.#rows.get(message.request);
    if (!row) {
      return [];
    }
    switch (message.kind) {
      case 'caller-left':
        return this.#abandon(row, now);
      case 'recorded':
        return this.#recorded(row, now);
      case 'not-recorded':
        return this.#notRecorded(row, message, now);
      case 'replayed':
        return this.#end(
          this.#update(row, { record: 'closed' }),
          { kind: 'finished' },
          now,
        );
      case 'not-sent':
      case 'declined':
      case 'answering':
      case 'delivered':
      case 'broken':
      case 'finished':
        return this.#handleAttempt(row, message, now);
    }
  }

  /** Ends what is past its deadline and moves what waits. */
  tick(now: Instant): RequestCommand[] {
    const commands = this.#options.admission
      .tick(now)
      .flatMap(({ request, answer }) => {
        const row = this.#rows.get(request);
        return row ? this.#admissionAnswered(row, answer, now) : [];
      });
    for (const row of [...this.#rows.rows()]) {
      commands.push(...this.#tickRow(row, now));
    }
    return commands;
  }

  #arrive(request: Request, now: Instant): RequestCommand[] {
    if (this.#rows.has(request.id)) {
      return [];
    }
    const row = newRow(request);
    this.#rows.put(row);
    this.#recorder.record('request-accepted', {
      request: request.id,
      team: request.team,
    });
    this.#options.retrying.requestArrived(now);
    const answer = this.#options.admission.request(request, now);
    return this.#admissionAnswered(row, answer, now);
  }

  /** Goes on with a stream that was admitted and begun by another router. */
  #reattach(
    message: Extract<RequestMessage, { kind: 'reattached' }>,
    now: Instant,
  ): RequestCommand[] {
    const { request, attempt, endpoint } = message;
    this.#rows.put({
      ...newRow(request),
      state: { kind: 'answering', attempt, endpoint, resumptions: 0 },
      exposed: true,
      delivered: true,
    });
    this.#options.placing.started(request, endpoint, now);
    const after = milliseconds(0);
    return [{ kind: 'resume', request: request.id, attempt, endpoint, after }];
  }

  #admissionAnswered(
    row: RequestRow,
    answer: AdmissionAnswer,
    now: Instant,
  ): RequestCommand[] {
    switch (answer.kind) {
      case 'refused':
        return this.#refuse(row, answer.reason, now);
      case 'queued':
        this.#recorder.record('request-queued', { request: row.id });
        return [];
      case 'admitted':
        return this.#admitted(this.#update(row, { admitted: true }), now);
    }
  }

  #admitted(row: RequestRow, now: Instant): RequestCommand[] {
    const { deadline } = row.request;
    if (isRepeatable(row.request)) {
      return this.#place(row, now);
    }
    this.#update(row, {
      state: { kind: 'waiting', on: 'record', until: deadline },
      record: 'open',
    });
    return [{ kind: 'record', request: row.id }];
  }

  #recorded(row: RequestRow, now: Instant): RequestCommand[] {
    const expected = row.state.kind === 'waiting' && row.state.on === 'record';
    return expected ? this.#place(row, now) : [];
  }

  #notRecorded(
    row: RequestRow,
    message: Extract<RequestMessage, { kind: 'not-recorded' }>,
    now: Instant,
  ): RequestCommand[] {
    const known = this.#update(row, {
      exposed: message.inDoubt,
      record: 'closed',
    });
    return this.#refuse(known, message.reason, now);
  }

  #place(row: RequestRow, now: Instant): RequestCommand[] {
    const { request, avoided } = row;
    const answer = this.#options.placing.choose(request, avoided, now);
    switch (answer.kind) {
      case 'refused':
        return this.#refuse(row, answer.reason, now);
      case 'saturated':
        return this.#waitForRoom(row, answer.retryAfter, now);
      case 'endpoint':
        return [this.#send(row, answer.endpoint, now)];
    }
  }

  #waitForRoom(
    row: RequestRow,
    retryAfter: Milliseconds,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    if (state.kind === 'waiting' && state.on === 'placement') {
      if (now < state.until) {
        return [];
      }
      return this.#refuse(row, { kind: 'overloaded', retryAfter }, now);
    }
    const until = addTime(now, this.#options.placementWait);
    this.#move(row, { kind: 'waiting', on: 'placement', until });
    return [];
  }

  #send(row: RequestRow, endpoint: EndpointId, now: Instant): RequestCommand {
    const number = String(this.#nextAttempt);
    const attempt = attemptId(`${this.#options.attemptPrefix}.${number}`);
    this.#nextAttempt += 1;
    this.#update(row, {
      state: { kind: 'sent', attempt, endpoint, at: now },
      attempts: row.attempts + 1,
    });
    this.#options.placing.started(row.request, endpoint, now);
    this.#recorder.record('request-sent', {
      request: row.id,
      attempt,
      endpoint,
    });
    return { kind: 'send', request: row.id, attempt, endpoint };
  }

  #handleAttempt(
    row: RequestRow,
    message: AttemptMessage,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    const current = state.kind === 'sent' || state.kind === 'answering';
    if (!current || state.attempt !== message.attempt) {
      return [];
    }
    const { endpoint } = state;
    switch (message.kind) {
      case 'not-sent':
        return this.#undone(row, endpoint, 'not-sent', now);
      case 'declined':
        return this.#undone(row, endpoint, endingOf(message.decline), now);
      case 'answering':
        this.#answering(row);
        return [];
      case 'delivered':
        this.#update(row, { delivered: true });
        return [];
      case 'broken':
        return this.#broken(row, message, now);
      case 'finished':
        this.#options.placing.ended(row.request, endpoint, 'finished', now);
        return this.#end(row, { kind: 'finished' }, now);
    }
  }

  #answering(row: RequestRow): void {
    if (row.state.kind !== 'sent') {
      return;
    }
    const { attempt, endpoint } = row.state;
    this.#move(row, { kind: 'answering', attempt, endpoint, resumptions: 0 });
  }

  /** Goes on after an attempt that provably ran nothing. */
  #undone(
    row: RequestRow,
    endpoint: EndpointId,
    ending: AttemptEnding,
    now: Instant,
  ): RequestCommand[] {
    this.#options.placing.ended(row.request, endpoint, ending, now);
    const avoided = [...row.avoided, endpoint];
    const known = this.#update(row, { avoided, state: retrying(now) });
    const reason: RefusalReason = { kind: 'endpoint-refused', endpoint };
    return this.#retry(known, reason, now);
  }

  #broken(
    row: RequestRow,
    message: Extract<RequestMessage, { kind: 'broken' }>,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    if (state.kind !== 'sent' && state.kind !== 'answering') {
      return [];
    }
    if (state.kind === 'answering' && message.resumable) {
      const answer = this.#options.retrying.mayResume(state.resumptions, now);
      if (answer.kind === 'retry') {
        return this.#resume(row, state, answer.after);
      }
    }
    return this.#lost(row, state.endpoint, message.breakage, now);
  }

  #resume(
    row: RequestRow,
    state: Extract<RequestState, { kind: 'answering' }>,
    after: Milliseconds,
  ): RequestCommand[] {
    const { attempt, endpoint } = state;
    this.#move(row, { ...state, resumptions: state.resumptions + 1 });
    this.#recorder.record('request-resumed', {
      request: row.id,
      attempt,
      endpoint,
    });
    return [{ kind: 'resume', request: row.id, attempt, endpoint, after }];
  }

  /** Goes on after an attempt that may have run. */
  #lost(
    row: RequestRow,
    endpoint: EndpointId,
    breakage: Breakage,
    now: Instant,
  ): RequestCommand[] {
    this.#options.placing.ended(row.request, endpoint, breakage, now);
    const known = this.#update(row, {
      avoided: [...row.avoided, endpoint],
      exposed: true,
      state: retrying(now),
    });
    const reattached = row.attempts === 0;
    const reason: RefusalReason = reattached
      ? { kind: 'stream-gone' }
      : { kind: 'answer-lost', endpoint };
    if (!isRepeatable(row.request) || row.delivered) {
      return this.#refuse(known, reason, now);
    }
    return this.#retry(known, reason, now);
  }

  #retry(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const answer = this.#options.retrying.mayRetry(row.attempts, now);
    if (answer.kind === 'give-up') {
      return this.#refuse(row, reason, now);
    }
    this.#recorder.record('request-retried', { request: row.id });
    if (answer.after <= IMMEDIATELY) {
      return this.#place(row, now);
    }
    const until = addTime(now, answer.after);
    this.#move(row, { kind: 'waiting', on: 'retry', until });
    return [];
  }

  #tickRow(row: RequestRow, now: Instant): RequestCommand[] {
    const { state } = row;
    if (now >= row.request.deadline) {
      return this.#expire(row, now);
    }
    if (state.kind !== 'waiting') {
      return [];
    }
    const due =
      state.on === 'placement' || (state.on === 'retry' && now >= state.until);
    return due ? this.#place(row, now) : [];
  }

  #expire(row: RequestRow, now: Instant): RequestCommand[] {
    const cancel = this.#cancelAttempt(row, now);
    const refusal = this.#refuse(row, { kind: 'deadline-exceeded' }, now);
    return [...cancel, ...refusal];
  }

  #abandon(row: RequestRow, now: Instant): RequestCommand[] {
    if (!isRepeatable(row.request) && isRunning(row)) {
      return [];
    }
    const cancel = this.#cancelAttempt(row, now);
    return [...cancel, ...this.#end(row, { kind: 'finished' }, now)];
  }

  #cancelAttempt(row: RequestRow, now: Instant): RequestCommand[] {
    const { state } = row;
    if (state.kind !== 'sent' && state.kind !== 'answering') {
      return [];
    }
    const { attempt, endpoint } = state;
    this.#options.placing.ended(row.request, endpoint, 'cancelled', now);
    return [{ kind: 'cancel', request: row.id, attempt, endpoint }];
  }

  #refuse(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const refusal = refusalOf(row, reason);
    const settling = this.#end(row, { kind: 'refused', refusal }, now);
    this.#recorder.record(
      'request-refused',
      { request: row.id, team: row.request.team },
      { reason: reason.kind, outcome: refusal.outcome },
    );
    return [{ kind: 'refuse', request: row.id, refusal }, ...settling];
  }

  /** Removes the row, returns its slot and settles a recorded order. */
  #end(row: RequestRow, state: RequestState, now: Instant): RequestCommand[] {
    this.#rows.delete(row.id);
    this.#options.admission.released(row.request, now);
    if (state.kind === 'finished') {
      this.#recorder.record('request-finished', {
        request: row.id,
        team: row.request.team,
      });
    }
    return settlementOf(row, state);
  }

  #move(row: RequestRow, state: RequestState): RequestRow {
    return this.#update(row, { state });
  }

  #update(
    row: RequestRow,
    fields: Partial<Omit<RequestRow, 'id'>>,
  ): RequestRow {
    const updated = { ...row, ...fields };
    this.#rows.put(updated);
    return updated;
  }
}
