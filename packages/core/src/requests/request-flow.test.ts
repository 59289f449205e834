import { expect } from 'chai';
import fc from 'fast-check';

import { Random } from '../random/random';
import {
  chatId,
  endpointId,
  fingerprint,
  idempotencyKey,
  modelId,
  requestId,
  serviceId,
  teamId,
} from '../types/ids';
import type { AttemptId, EndpointId, RequestId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { RequestFlow } from './request-flow';
import { AdmissionStep, PlacementStep, RetryStep } from './steps';
import type { RefusalReason } from '../types/refusal';
import type {
  AdmissionResult,
  AttemptReport,
  AttemptInfo,
  FailedRequest,
  PlacementResult,
  QueuedAdmissionResult,
  RetryResult,
} from './steps';
import type { Request, RequestCommand, RequestMessage } from './types';

const RETRY_AFTER = milliseconds(100);
const OVER_LIMIT: RefusalReason = {
  kind: 'team-over-limit',
  retryAfter: RETRY_AFTER,
};
const NO_ENDPOINT: RefusalReason = {
  kind: 'no-endpoint',
  retryAfter: RETRY_AFTER,
};
const STORE_DOWN: RefusalReason = {
  kind: 'store-unavailable',
  retryAfter: RETRY_AFTER,
};

class RandomAdmission extends AdmissionStep {
  readonly #random: Random;
  readonly #queued = new Set<RequestId>();

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override request({ id, deadline }: Request): AdmissionResult {
    const draw = this.#random.integer(0, 9);
    if (draw === 0) {
      return { kind: 'refused', reason: OVER_LIMIT };
    }
    if (draw === 1) {
      this.#queued.add(id);
      return { kind: 'queued', until: deadline };
    }
    return { kind: 'admitted' };
  }

  override release({ id }: Request): void {
    this.#queued.delete(id);
  }

  override tick(): readonly QueuedAdmissionResult[] {
    const results = [...this.#queued].map(request => ({
      request,
      result: { kind: 'admitted' } as const,
    }));
    this.#queued.clear();
    return results;
  }
}

class RandomPlacement extends PlacementStep {
  readonly #random: Random;
  readonly open = new Set<AttemptId>();

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  override choose(
    _request: Request,
    avoided: readonly EndpointId[],
  ): PlacementResult {
    const draw = this.#random.integer(0, 9);
    if (draw === 0) {
      return { kind: 'held' };
    }
    if (draw === 1) {
      return { kind: 'saturated', retryAfter: RETRY_AFTER };
    }
    const free = ['a', 'b', 'c', 'd']
      .map(endpointId)
      .filter(id => !avoided.includes(id));
    if (free.length === 0) {
      return { kind: 'refused', reason: NO_ENDPOINT };
    }
    return { kind: 'endpoint', endpoint: this.#random.pick(free) };
  }

  override onAttemptStarted({ attempt }: AttemptInfo): void {
    this.open.add(attempt);
  }

  override onAttemptProgress(): void {
    // Progress does not affect this placement.
  }

  override onAttemptEnded(
    { attempt }: AttemptInfo,
    report: AttemptReport,
  ): void {
    expect(this.open.delete(attempt), `${attempt} ${report}`).to.equal(true);
  }
}

class LimitedRetries extends RetryStep {
  override onRequestArrived(): void {
    // There is no retry budget to fill.
  }

  override decideRetry(failed: FailedRequest): RetryResult {
    const allowed = failed.outcome === 'not_run' || failed.repeatable;
    return allowed && failed.attempts < 3
      ? { kind: 'retry', after: milliseconds(failed.attempts) }
      : { kind: 'give-up' };
  }

  override decideResume(resumptions: number): RetryResult {
    return resumptions < 2
      ? { kind: 'retry', after: milliseconds(1) }
      : { kind: 'give-up' };
  }
}

type Sent = Extract<RequestCommand, { kind: 'send' | 'resume' }>;

/** What endpoints, the store and the caller actually did with one request. */
class ActualEffects {
  runs = 0;
  recorded = false;
  ended = 0;
  settled: string[] = [];
}

/** Sends random events to a flow and checks each command against what actually happened. */
class RandomRequests {
  readonly #random: Random;
  readonly #flow: RequestFlow;
  readonly #placement: RandomPlacement;
  readonly #actual = new Map<RequestId, ActualEffects>();
  readonly #requests = new Map<RequestId, Request>();
  readonly #running: Sent[] = [];
  readonly #pendingRecords: RequestId[] = [];
  #now = instant(0);

  constructor(seed: number) {
    this.#random = new Random(seed);
    this.#placement = new RandomPlacement(this.#random);
    this.#flow = new RequestFlow({
      admission: new RandomAdmission(this.#random),
      placement: this.#placement,
      retry: new LimitedRetries(),
      placementWait: milliseconds(20),
      attemptPrefix: 'r',
    });
  }

  run(requests: number, steps: number): void {
    for (let index = 0; index < requests; index += 1) {
      this.#arrive(index);
    }
    for (let step = 0; step < steps; step += 1) {
      this.#now = instant(this.#now + this.#random.integer(0, 5));
      this.#step();
      this.#perform(this.#flow.tick(this.#now));
    }
    this.#now = instant(10_000);
    this.#perform(this.#flow.tick(this.#now));
    expect(this.#flow.inFlight).to.equal(0);
    expect(
      this.#placement.open.size,
      'attempts without a reported end',
    ).to.equal(0);
    this.#checkEnds();
  }

  #arrive(index: number): void {
    const repeatable = this.#random.integer(0, 1) === 0;
    const id = requestId(`q${index}`);
    const request: Request = {
      id,
      team: teamId('t'),
      target: repeatable
        ? { kind: 'chat', model: modelId('m'), chat: chatId(id) }
        : {
            kind: 'call',
            service: serviceId('s'),
            repeatable: false,
            key: idempotencyKey(id),
          },
      fingerprint: fingerprint(id),
      priority: 0,
      affinityEndpoint: undefined,
      streamed: true,
      arrived: this.#now,
      deadline: instant(this.#now + this.#random.integer(20, 400)),
    };
    this.#actual.set(id, new ActualEffects());
    this.#requests.set(id, request);
    this.#send({ kind: 'arrived', request });
  }

  #step(): void {
    const record = this.#pendingRecords.shift();
    if (record) {
      this.#respondToRecord(record);
    }
    const index = this.#random.integer(
      0,
      Math.max(0, this.#running.length - 1),
    );
    const [attempt] = this.#running.splice(index, 1);
    if (attempt) {
      this.#respondToAttempt(attempt);
    }
    if (this.#random.integer(0, 40) === 0) {
      const request = this.#random.pick([...this.#requests.keys()]);
      const wasActive = this.#flow.row(request) !== undefined;
      this.#send({ kind: 'caller-left', request });
      if (wasActive && !this.#flow.row(request)) {
        this.#actualOf(request).ended += 1;
      }
    }
  }

  #respondToRecord(request: RequestId): void {
    if (this.#random.integer(0, 3) > 0) {
      this.#actualOf(request).recorded = true;
      this.#send({ kind: 'recorded', request });
      return;
    }
    const isOutcomeUnknown = this.#random.integer(0, 1) === 0;
    if (isOutcomeUnknown) {
      this.#actualOf(request).runs += 1;
    }
    this.#send({
      kind: 'not-recorded',
      request,
      reason: isOutcomeUnknown ? { kind: 'order-unsettled' } : STORE_DOWN,
      outcomeUnknown: isOutcomeUnknown,
    });
  }

  #respondToAttempt({ request, attempt, kind }: Sent): void {
    const ids = { request, attempt };
    const actual = this.#actualOf(request);
    const draw = this.#random.integer(0, 5);
    if (kind === 'send' && draw === 0) {
      this.#send({ ...ids, kind: 'not-sent' });
      return;
    }
    if (kind === 'send' && draw === 1) {
      this.#send({ ...ids, kind: 'declined', decline: 'full' });
      return;
    }
    if (kind === 'send') {
      actual.runs += 1;
    }
    if (draw === 2) {
      const breakage = 'reset';
      this.#send({ ...ids, kind: 'broken', breakage, resumable: false });
      return;
    }
    this.#send({ ...ids, kind: 'answering' });
    if (this.#random.integer(0, 1) === 0) {
      this.#send({ ...ids, kind: 'delivered' });
    }
    if (draw === 3) {
      const breakage = 'stall';
      this.#send({ ...ids, kind: 'broken', breakage, resumable: true });
      return;
    }
    const state = this.#flow.row(request)?.state;
    const current =
      state !== undefined && 'attempt' in state && state.attempt === attempt;
    this.#send({ ...ids, kind: 'finished', events: 0 });
    actual.ended += current ? 1 : 0;
  }

  #send(message: RequestMessage): void {
    this.#perform(this.#flow.handle(message, this.#now));
  }

  #perform(commands: readonly RequestCommand[]): void {
    for (const command of commands) {
      this.#performOne(command, this.#actualOf(command.request));
    }
  }

  #performOne(command: RequestCommand, actual: ActualEffects): void {
    switch (command.kind) {
      case 'send':
        this.#checkSend(command.request, actual);
        this.#running.push(command);
        return;
      case 'resume':
        this.#running.push(command);
        return;
      case 'record':
        this.#pendingRecords.push(command.request);
        return;
      case 'refuse':
        actual.ended += 1;
        if (command.refusal.outcome === 'not_run') {
          expect(actual.runs, 'reported as not_run').to.equal(0);
        }
        return;
      case 'settle':
        actual.settled.push(command.disposition);
        if (command.disposition === 'never-sent') {
          expect(actual.runs, 'settled as never sent').to.equal(0);
        }
        return;
      case 'cancel':
    }
  }

  #checkSend(id: RequestId, actual: ActualEffects): void {
    expect(actual.ended, 'sent after the request ended').to.equal(0);
    if (this.#requests.get(id)?.target.kind === 'call') {
      expect(actual.recorded, 'sent before the record was confirmed').to.equal(
        true,
      );
      expect(actual.runs, 'sent after it had run').to.equal(0);
    }
  }

  #checkEnds(): void {
    for (const [id, actual] of this.#actual) {
      expect(actual.ended, id).to.equal(1);
      expect(actual.settled.length, id).to.be.at.most(1);
    }
  }

  #actualOf(id: RequestId): ActualEffects {
    return this.#actual.get(id) ?? new ActualEffects();
  }
}

describe('RequestFlow', () => {
  it('ends every request once, reports no false outcome and runs an order at most once', () => {
    fc.assert(
      fc.property(fc.integer(), seed => {
        new RandomRequests(seed).run(12, 150);
      }),
      { seed: 11, numRuns: 400 },
    );
  });

  it('lets the record of an order decide the outcome at the deadline, and reports unknown without it', () => {
    const flow = new RequestFlow({
      admission: new RandomAdmission(new Random(4)),
      placement: new RandomPlacement(new Random(4)),
      retry: new LimitedRetries(),
      placementWait: milliseconds(20),
      attemptPrefix: 'r',
    });
    const call = (name: string): Request => ({
      id: requestId(name),
      team: teamId('t'),
      target: {
        kind: 'call',
        service: serviceId('s'),
        repeatable: false,
        key: idempotencyKey('k'),
      },
      fingerprint: fingerprint('f'),
      priority: 0,
      affinityEndpoint: undefined,
      streamed: true,
      arrived: instant(0),
      deadline: instant(100),
    });
    for (const name of ['a', 'b']) {
      const commands = flow.handle(
        { kind: 'arrived', request: call(name) },
        instant(0),
      );
      expect(commands.map(command => command.kind)).to.deep.equal(['record']);
    }
    expect(flow.tick(instant(110))).to.deep.equal([]);
    const [refusal] = flow.handle(
      {
        kind: 'not-recorded',
        request: requestId('a'),
        reason: { kind: 'order-unsettled' },
        outcomeUnknown: true,
      },
      instant(110),
    );
    expect(refusal?.kind === 'refuse' && refusal.refusal.outcome).to.equal(
      'unknown',
    );
    const [expired] = flow.tick(instant(700));
    expect(expired?.kind === 'refuse' && expired.refusal.outcome).to.equal(
      'unknown',
    );
  });
});
