/** The request flow takes messages from the I/O layer and returns commands for it. */
import { NoopEventRecorder } from '../timeline/event';
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

/** Policies and limits of the request flow. */
export interface RequestFlowOptions {
  readonly admission: AdmissionStep;
  readonly placement: PlacementStep;
  readonly retry: RetryStep;
  /** Maximum wait for an endpoint below its bound. */
  readonly placementWait: Milliseconds;
  /** Prefix that makes attempt ids unique over routers and restarts. */
  readonly attemptPrefix: string;
  readonly recorder?: EventRecorder;
}

type AttemptMessage = Extract<
  RequestMessage,
  { request: RequestId; attempt: AttemptId }
>;

const NO_DELAY = milliseconds(0);
/** Time after the deadline in which the state of the order's record still decides the outcome. */
const ORDER_RECORD_GRACE = milliseconds(500);

/** State machine of all requests of one router. */
export class RequestFlow {
  readonly #table: RequestTable;
  readonly #options: RequestFlowOptions;
  readonly #recorder: EventRecorder;
  #nextAttempt = 1;

  constructor(options: RequestFlowOptions) {
    this.#options = options;
    this.#recorder = options.recorder ?? new NoopEventRecorder();
    this.#table = new RequestTable({
      admission: options.admission,
      recorder: this.#recorder,
    });
  }

  /** Number of requests that have not ended. */
  get inFlight(): number {
    return this.#table.size;
  }

  row(id: RequestId): RequestRow | undefined {
    return this.#table.get(id);
  }

  handle(message: RequestMessage, now: Instant): RequestCommand[] {
    if (message.kind === 'arrived') {
      return this.#onArrived(message.request, now);
    }
    if (message.kind === 'reattached') {
      return this.#onReattached(message, now);
    }
    const row = this.#table.get(message.request);
    if (!row) {
      return [];
    }
    switch (message.kind) {
      case 'caller-left':
        return this.#onCallerLeft(row, now);
      case 'recorded':
        return this.#onRecorded(row, now);
      case 'not-recorded':
        return this.#onNotRecorded(row, message, now);
      case 'replayed':
        return this.#table.finish(
          this.#table.update(row, { orderRecord: 'closed' }),
          now,
        );
      case 'not-sent':
      case 'declined':
      case 'answering':
      case 'delivered':
      case 'broken':
      case 'finished':
      case 'withheld':
        return this.#onAttemptMessage(row, message, now);
    }
  }

  /** Expires requests past their deadline and advances waiting ones. */
  tick(now: Instant): RequestCommand[] {
    const commands = this.#options.admission
      .tick(now)
      .flatMap(({ request, result }) => {
        const row = this.#table.get(request);
        return row ? this.#onAdmissionResult(row, result, now) : [];
      });
    for (const row of this.#table.all()) {
      commands.push(...this.#tickRow(row, now));
    }
    return commands;
  }

  #onArrived(request: Request, now: Instant): RequestCommand[] {
    if (this.#table.get(request.id)) {
      return [];
    }
    const row = newRow(request);
    this.#table.put(row);
    this.#recorder.record('request-accepted', {
      request: request.id,
      team: request.team,
    });
    this.#options.retry.onRequestArrived(now);
    const result = this.#options.admission.request(request, now);
    return this.#onAdmissionResult(row, result, now);
  }

  /** Resumes a stream that another router admitted and started. */
  #onReattached(
    message: Extract<RequestMessage, { kind: 'reattached' }>,
    now: Instant,
  ): RequestCommand[] {
    const { request, attempt, endpoint } = message;
    this.#table.put({
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

  #onAdmissionResult(
    row: RequestRow,
    result: AdmissionResult,
    now: Instant,
  ): RequestCommand[] {
    switch (result.kind) {
      case 'refused':
        return this.#table.refuse(row, result.reason, now);
      case 'queued':
        this.#recorder.record('request-queued', { request: row.id });
        return [];
      case 'admitted':
        return this.#onAdmitted(
          this.#table.update(row, { admitted: true }),
          now,
        );
    }
  }

  #onAdmitted(row: RequestRow, now: Instant): RequestCommand[] {
    const { deadline } = row.request;
    if (isRepeatable(row.request)) {
      return this.#place(row, now);
    }
    this.#table.update(row, {
      state: { kind: 'waiting', on: 'record', until: deadline },
      orderRecord: 'open',
    });
    return [{ kind: 'record', request: row.id }];
  }

  #onRecorded(row: RequestRow, now: Instant): RequestCommand[] {
    const expected = row.state.kind === 'waiting' && row.state.on === 'record';
    return expected ? this.#place(row, now) : [];
  }

  #onNotRecorded(
    row: RequestRow,
    message: Extract<RequestMessage, { kind: 'not-recorded' }>,
    now: Instant,
  ): RequestCommand[] {
    const updated = this.#table.update(row, {
      mayHaveRun: message.outcomeUnknown,
      orderRecord: 'closed',
    });
    return this.#table.refuse(updated, message.reason, now);
  }

  #place(row: RequestRow, now: Instant): RequestCommand[] {
    const { request, avoided } = row;
    const result = this.#options.placement.choose(request, avoided, now);
    switch (result.kind) {
      case 'refused':
        return this.#table.refuse(row, result.reason, now);
      case 'saturated':
        return this.#waitForSlot(row, result.retryAfter, now);
      case 'held':
        this.#table.update(row, {
          state: { kind: 'waiting', on: 'hold', until: request.deadline },
        });
        return [];
      case 'endpoint':
        return [this.#send(row, result.endpoint, now)];
    }
  }

  #waitForSlot(
    row: RequestRow,
    retryAfter: Milliseconds,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    if (state.kind === 'waiting' && state.on === 'placement') {
      if (now < state.until) {
        return [];
      }
      return this.#table.refuse(row, { kind: 'overloaded', retryAfter }, now);
    }
    const until = addTime(now, this.#options.placementWait);
    this.#table.update(row, {
      state: { kind: 'waiting', on: 'placement', until },
    });
    return [];
  }

  #send(row: RequestRow, endpoint: EndpointId, now: Instant): RequestCommand {
    const number = String(this.#nextAttempt);
    const attempt = attemptId(`${this.#options.attemptPrefix}.${number}`);
    this.#nextAttempt += 1;
    this.#table.update(row, {
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

  #onAttemptMessage(
    row: RequestRow,
    message: AttemptMessage,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    const current = state.kind === 'sent' || state.kind === 'answering';
    if (!current || state.attempt !== message.attempt) {
      return [];
    }
    const info = attemptInfo(row, state);
    switch (message.kind) {
      case 'not-sent':
        return this.#onNotRun(row, info, 'not-sent', now);
      case 'declined':
        return this.#onNotRun(row, info, rejectionReport(message.decline), now);
      case 'withheld':
        return this.#onWithheld(row, info, now);
      case 'answering':
        this.#onResponseStarted(row);
        return [];
      case 'delivered':
        this.#table.update(row, { delivered: true });
        this.#options.placement.onAttemptProgress(info, now);
        return [];
      case 'broken':
        return this.#onBroken(row, message, now);
      case 'finished':
        this.#options.placement.onAttemptEnded(
          info,
          'finished',
          message.events,
          now,
        );
        return this.#table.finish(row, now);
    }
  }

  #onResponseStarted(row: RequestRow): void {
    if (row.state.kind !== 'sent') {
      return;
    }
    const { attempt, endpoint } = row.state;
    this.#table.update(row, {
      state: { kind: 'answering', attempt, endpoint, resumptions: 0 },
    });
  }

  /** Retries after an attempt that provably did not run. */
  #onNotRun(
    row: RequestRow,
    info: AttemptInfo,
    report: AttemptReport,
    now: Instant,
  ): RequestCommand[] {
    const { endpoint } = info;
    this.#options.placement.onAttemptEnded(info, report, 0, now);
    const avoided = [...row.avoided, endpoint];
    const updated = this.#table.update(row, {
      avoided,
      state: retryState(now),
    });
    const reason: RefusalReason = { kind: 'endpoint-refused', endpoint };
    return this.#retry(updated, reason, now);
  }

  /** Waits for the order's record again; it must be confirmed once more before the send. */
  #onWithheld(
    row: RequestRow,
    info: AttemptInfo,
    now: Instant,
  ): RequestCommand[] {
    this.#options.placement.onAttemptEnded(info, 'cancelled', 0, now);
    const until = row.request.deadline;
    this.#table.update(row, {
      state: { kind: 'waiting', on: 'record', until },
      attempts: row.attempts - 1,
    });
    return [];
  }

  #onBroken(
    row: RequestRow,
    message: Extract<RequestMessage, { kind: 'broken' }>,
    now: Instant,
  ): RequestCommand[] {
    const { state } = row;
    if (state.kind !== 'sent' && state.kind !== 'answering') {
      return [];
    }
    if (state.kind === 'answering' && message.resumable) {
      const result = this.#options.retry.decideResume(state.resumptions, now);
      if (result.kind === 'retry') {
        return this.#resume(row, state, result.after);
      }
    }
    return this.#onPossiblyRun(
      row,
      attemptInfo(row, state),
      message.breakage,
      now,
    );
  }

  #resume(
    row: RequestRow,
    state: Extract<RequestState, { kind: 'answering' }>,
    after: Milliseconds,
  ): RequestCommand[] {
    const { attempt, endpoint } = state;
    this.#table.update(row, {
      state: { ...state, resumptions: state.resumptions + 1 },
    });
    this.#recorder.record('request-resumed', {
      request: row.id,
      attempt,
      endpoint,
    });
    return [{ kind: 'resume', request: row.id, attempt, endpoint, after }];
  }

  /** Retries or refuses the request after an attempt that may have run. */
  #onPossiblyRun(
    row: RequestRow,
    info: AttemptInfo,
    breakage: FailureReason,
    now: Instant,
  ): RequestCommand[] {
    const { endpoint, attempt } = info;
    this.#options.placement.onAttemptEnded(info, breakage, 0, now);
    const updated = this.#table.update(row, {
      avoided: [...row.avoided, endpoint],
      mayHaveRun: true,
      state: retryState(now),
    });
    const reattached = row.attempts === 0;
    const reason: RefusalReason = reattached
      ? { kind: 'stream-gone' }
      : { kind: 'answer-lost', endpoint };
    if (!isRepeatable(row.request) || row.delivered) {
      return this.#table.refuse(updated, reason, now);
    }
    // The endpoint may still be running the request; its result is no longer needed.
    const cancel: RequestCommand = {
      kind: 'cancel',
      request: row.id,
      attempt,
      endpoint,
    };
    return [cancel, ...this.#retry(updated, reason, now)];
  }

  #retry(
    row: RequestRow,
    reason: RefusalReason,
    now: Instant,
  ): RequestCommand[] {
    const result = this.#options.retry.decideRetry(
      {
        outcome: outcomeOf(row),
        repeatable: isRepeatable(row.request),
        attempts: row.attempts,
        deadline: row.request.deadline,
      },
      now,
    );
    if (result.kind === 'give-up') {
      return this.#table.refuse(row, reason, now);
    }
    this.#recorder.record('request-retried', { request: row.id });
    if (result.after <= NO_DELAY) {
      return this.#place(row, now);
    }
    const until = addTime(now, result.after);
    this.#table.update(row, {
      state: { kind: 'waiting', on: 'retry', until },
    });
    return [];
  }

  #tickRow(row: RequestRow, now: Instant): RequestCommand[] {
    const { state } = row;
    if (state.kind === 'waiting' && state.on === 'record') {
      return this.#tickOrderRecord(row, now);
    }
    if (now >= row.request.deadline) {
      return this.#expire(row, now);
    }
    if (state.kind !== 'waiting') {
      return [];
    }
    const mustPlace =
      state.on === 'placement' ||
      state.on === 'hold' ||
      (state.on === 'retry' && now >= state.until);
    return mustPlace ? this.#place(row, now) : [];
  }

  /**
   * Lets the order's record end the wait at the deadline, as only the record
   * shows whether an earlier call with the key may have run. If the record has
   * not been read by the end of the grace period, the outcome is unknown.
   */
  #tickOrderRecord(row: RequestRow, now: Instant): RequestCommand[] {
    const latest = addTime(row.request.deadline, ORDER_RECORD_GRACE);
    return now < latest
      ? []
      : this.#expire(this.#table.update(row, { mayHaveRun: true }), now);
  }

  #expire(row: RequestRow, now: Instant): RequestCommand[] {
    const cancel = this.#cancelAttempt(row, now);
    const refusal = this.#table.refuse(row, { kind: 'deadline-exceeded' }, now);
    return [...cancel, ...refusal];
  }

  #onCallerLeft(row: RequestRow, now: Instant): RequestCommand[] {
    if (!isRepeatable(row.request) && isRunning(row)) {
      return [];
    }
    const cancel = this.#cancelAttempt(row, now);
    return [...cancel, ...this.#table.finish(row, now)];
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
