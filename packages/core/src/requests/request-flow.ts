/** Leads every request from arrival to its end; takes messages, gives commands. */
import { SilentRecorder } from '../timeline/event';
import type { EventRecorder } from '../timeline/event';
import { attemptId } from '../types/ids';
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import type { RefusalReason } from '../types/refusal';
import { addTime, milliseconds } from '../types/units';
import type { Instant, Milliseconds } from '../types/units';
import { outcomeOf } from './outcome';
import { RequestTable } from './request-table';
import {
  rejectionReport,
  isRepeatable,
  attemptInfo,
  isRunning,
  newRow,
  retryState,
} from './transitions';
import type {
  AdmissionResult,
  AdmissionStep,
  AttemptReport,
  AttemptInfo,
  PlacementStep,
  RetryStep,
} from './steps';
import type {
  FailureReason,
  Request,
  RequestCommand,
  RequestMessage,
  RequestRow,
  RequestState,
} from './types';

/** Policies and limits of a flow. */
export interface RequestFlowOptions {
  readonly admission: AdmissionStep;
  readonly placement: PlacementStep;
  readonly retry: RetryStep;
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
/** Time after the deadline in which the order's record has the first word. */
const RECORD_GRACE = milliseconds(500);

/** State machine of all requests of one router. */
export class RequestFlow {
  readonly #ledger: RequestTable;
  readonly #options: RequestFlowOptions;
  readonly #recorder: EventRecorder;
  #nextAttempt = 1;

  constructor(options: RequestFlowOptions) {
    this.#options = options;
    this.#recorder = options.recorder ?? new SilentRecorder();
    this.#ledger = new RequestTable({
      admission: options.admission,
      recorder: this.#recorder,
    });
  }

  /** Requests that have not ended. */
  get inFlight(): number {
    return this.#ledger.size;
  }

  row(id: RequestId): RequestRow | undefined {
    return this.#ledger.get(id);
  }

  handle(message: RequestMessage, now: Instant): RequestCommand[] {
    if (message.kind === 'arrived') {
      return this.#arrive(message.request, now);
    }
    if (message.kind === 'reattached') {
      return this.#reattach(message, now);
    }
    const row = this.#ledger.get(message.request);
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
        return this.#ledger.finish(
          this.#ledger.update(row, { orderRecord: 'closed' }),
          now,
        );
      case 'not-sent':
      case 'declined':
      case 'answering':
      case 'delivered':
      case 'broken':
      case 'finished':
      case 'withheld':
        return this.#handleAttempt(row, message, now);
    }
  }

  /** Ends what is past its deadline and moves what waits. */
  tick(now: Instant): RequestCommand[] {
    const commands = this.#options.admission
      .tick(now)
      .flatMap(({ request, result: answer }) => {
        const row = this.#ledger.get(request);
        return row ? this.#admissionAnswered(row, answer, now) : [];
      });
    for (const row of this.#ledger.all()) {
      commands.push(...this.#tickRow(row, now));
    }
    return commands;
  }

  #arrive(request: Request, now: Instant): RequestCommand[] {
    if (this.#ledger.get(request.id)) {
      return [];
    }
    const row = newRow(request);
    this.#ledger.put(row);
    this.#recorder.record('request-accepted', {
      request: request.id,
      team: request.team,
    });
    this.#options.retry.onRequestArrived(now);
    const answer = this.#options.admission.request(request, now);
    return this.#admissionAnswered(row, answer, now);
  }

  /** Goes on with a stream that was admitted and begun by another router. */
  #reattach(
    message: Extract<RequestMessage, { kind: 'reattached' }>,
    now: Instant,
  ): RequestCommand[] {
    const { request, attempt, endpoint } = message;
    this.#ledger.put({
      ...newRow(request),
      state: { kind: 'answering', attempt, endpoint, resumptions: 0 },
      mayHaveRun: true,
      delivered: true,
    });
    this.#options.placement.onAttemptStarted(
      { request, attempt, endpoint },
      now,
    );
    const after = milliseconds(0);
    return [{ kind: 'resume', request: request.id, attempt, endpoint, after }];
  }

  #admissionAnswered(
    row: RequestRow,
    answer: AdmissionResult,
    now: Instant,
  ): RequestCommand[] {
    switch (answer.kind) {
      case 'refused':
        return this.#ledger.refuse(row, answer.reason, now);
      case 'queued':
        this.#recorder.record('request-queued', { request: row.id });
        return [];
      case 'admitted':
        return this.#admitted(
          this.#ledger.update(row, { admitted: true }),
          now,
        );
    }
  }

  #admitted(row: RequestRow, now: Instant): RequestCommand[] {
    const { deadline } = row.request;
    if (isRepeatable(row.request)) {
      return this.#place(row, now);
    }
    this.#ledger.update(row, {
      state: { kind: 'waiting', on: 'record', until: deadline },
      orderRecord: 'open',
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
    const known = this.#ledger.update(row, {
      mayHaveRun: message.outcomeUnknown,
      orderRecord: 'closed',
    });
    return this.#ledger.refuse(known, message.reason, now);
  }

  #place(row: RequestRow, now: Instant): RequestCommand[] {
    const { request, avoided } = row;
    const answer = this.#options.placement.choose(request, avoided, now);
    switch (answer.kind) {
      case 'refused':
        return this.#ledger.refuse(row, answer.reason, now);
      case 'saturated':
        return this.#waitForRoom(row, answer.retryAfter, now);
      case 'held':
        this.#ledger.update(row, {
          state: { kind: 'waiting', on: 'hold', until: request.deadline },
        });
        return [];
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
      return this.#ledger.refuse(row, { kind: 'overloaded', retryAfter }, now);
    }
    const until = addTime(now, this.#options.placementWait);
    this.#ledger.update(row, {
      state: { kind: 'waiting', on: 'placement', until },
    });
    return [];
  }

  #send(row: RequestRow, endpoint: EndpointId, now: Instant): RequestCommand {
    const number = String(this.#nextAttempt);
    const attempt = attemptId(`${this.#options.attemptPrefix}.${number}`);
    this.#nextAttempt += 1;
    this.#ledger.update(row, {
      state: { kind: 'sent', attempt, endpoint, at: now },
      attempts: row.attempts + 1,
    });
    this.#options.placement.onAttemptStarted(
      { request: row.request, attempt, endpoint },
      now,
    );
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
    const facts = attemptInfo(row, state);
    switch (message.kind) {
      case 'not-sent':
        return this.#undone(row, facts, 'not-sent', now);
      case 'declined':
        return this.#undone(row, facts, rejectionReport(message.decline), now);
      case 'withheld':
        return this.#withheld(row, facts, now);
      case 'answering':
        this.#answering(row);
        return [];
      case 'delivered':
        this.#ledger.update(row, { delivered: true });
        this.#options.placement.onAttemptProgress(facts, now);
        return [];
      case 'broken':
        return this.#broken(row, message, now);
      case 'finished':
        this.#options.placement.onAttemptEnded(
          facts,
          'finished',
          message.events,
          now,
        );
        return this.#ledger.finish(row, now);
    }
  }

  #answering(row: RequestRow): void {
    if (row.state.kind !== 'sent') {
      return;
    }
    const { attempt, endpoint } = row.state;
    this.#ledger.update(row, {
      state: { kind: 'answering', attempt, endpoint, resumptions: 0 },
    });
  }

  /** Goes on after an attempt that provably ran nothing. */
  #undone(
    row: RequestRow,
    facts: AttemptInfo,
    ending: AttemptReport,
    now: Instant,
  ): RequestCommand[] {
    const { endpoint } = facts;
    this.#options.placement.onAttemptEnded(facts, ending, 0, now);
    const avoided = [...row.avoided, endpoint];
    const known = this.#ledger.update(row, { avoided, state: retryState(now) });
    const reason: RefusalReason = { kind: 'endpoint-refused', endpoint };
    return this.#retry(known, reason, now);
  }

  /** Goes back to waiting for the record, which must be confirmed again. */
  #withheld(
    row: RequestRow,
    facts: AttemptInfo,
    now: Instant,
  ): RequestCommand[] {
    this.#options.placement.onAttemptEnded(facts, 'cancelled', 0, now);
    const until = row.request.deadline;
    this.#ledger.update(row, {
      state: { kind: 'waiting', on: 'record', until },
      attempts: row.attempts - 1,
    });
    return [];
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
      const answer = this.#options.retry.decideResume(state.resumptions, now);
      if (answer.kind === 'retry') {
        return this.#resume(row, state, answer.after);
      }
    }
    return this.#lost(row, attemptInfo(row, state), message.breakage, now);
  }

  #resume(
    row: RequestRow,
    state: Extract<RequestState, { kind: 'answering' }>,
    after: Milliseconds,
  ): RequestCommand[] {
    const { attempt, endpoint } = state;
    this.#ledger.update(row, {
      state: { ...state, resumptions: state.resumptions + 1 },
    });
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
    facts: AttemptInfo,
    breakage: FailureReason,
    now: Instant,
  ): RequestCommand[] {
    const { endpoint, attempt } = facts;
    this.#options.placement.onAttemptEnded(facts, breakage, 0, now);
    const known = this.#ledger.update(row, {
      avoided: [...row.avoided, endpoint],
      mayHaveRun: true,
      state: retryState(now),
    });
    const reattached = row.attempts === 0;
    const reason: RefusalReason = reattached
      ? { kind: 'stream-gone' }
      : { kind: 'answer-lost', endpoint };
    if (!isRepeatable(row.request) || row.delivered) {
      return this.#ledger.refuse(known, reason, now);
    }
    // The endpoint may still run it; the next attempt makes that useless.
    const cancel: RequestCommand = {
      kind: 'cancel',
      request: row.id,
      attempt,
      endpoint,
    };
    return [cancel, ...this.#retry(known, reason, now)];
  }

  #retry(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const answer = this.#options.retry.decideRetry(
      {
        outcome: outcomeOf(row),
        repeatable: isRepeatable(row.request),
        attempts: row.attempts,
        deadline: row.request.deadline,
      },
      now,
    );
    if (answer.kind === 'give-up') {
      return this.#ledger.refuse(row, reason, now);
    }
    this.#recorder.record('request-retried', { request: row.id });
    if (answer.after <= IMMEDIATELY) {
      return this.#place(row, now);
    }
    const until = addTime(now, answer.after);
    this.#ledger.update(row, {
      state: { kind: 'waiting', on: 'retry', until },
    });
    return [];
  }

  #tickRow(row: RequestRow, now: Instant): RequestCommand[] {
    const { state } = row;
    if (state.kind === 'waiting' && state.on === 'record') {
      return this.#tickRecording(row, now);
    }
    if (now >= row.request.deadline) {
      return this.#expire(row, now);
    }
    if (state.kind !== 'waiting') {
      return [];
    }
    const due =
      state.on === 'placement' ||
      state.on === 'hold' ||
      (state.on === 'retry' && now >= state.until);
    return due ? this.#place(row, now) : [];
  }

  /**
   * The order's record ends the wait at the deadline, as it alone knows whether
   * an earlier call with the key may have run; without its word that is unknown.
   */
  #tickRecording(row: RequestRow, now: Instant): RequestCommand[] {
    const latest = addTime(row.request.deadline, RECORD_GRACE);
    return now < latest
      ? []
      : this.#expire(this.#ledger.update(row, { mayHaveRun: true }), now);
  }

  #expire(row: RequestRow, now: Instant): RequestCommand[] {
    const cancel = this.#cancelAttempt(row, now);
    const refusal = this.#ledger.refuse(
      row,
      { kind: 'deadline-exceeded' },
      now,
    );
    return [...cancel, ...refusal];
  }

  #abandon(row: RequestRow, now: Instant): RequestCommand[] {
    if (!isRepeatable(row.request) && isRunning(row)) {
      return [];
    }
    const cancel = this.#cancelAttempt(row, now);
    return [...cancel, ...this.#ledger.finish(row, now)];
  }

  #cancelAttempt(row: RequestRow, now: Instant): RequestCommand[] {
    const { state } = row;
    if (state.kind !== 'sent' && state.kind !== 'answering') {
      return [];
    }
    const { attempt, endpoint } = state;
    this.#options.placement.onAttemptEnded(
      attemptInfo(row, state),
      'cancelled',
      0,
      now,
    );
    return [{ kind: 'cancel', request: row.id, attempt, endpoint }];
  }
}
