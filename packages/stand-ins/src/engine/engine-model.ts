/** Model of an engine with continuous batching and a prefix cache, without I/O or a clock. */
import { Random } from '@sesamegrade/core/random/random';
import { Table } from '@sesamegrade/core/table/table';
import type { AttemptId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import { elapsed, milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import { CacheEventLog } from './cache-event-log';
import type { CacheEvent } from './cache-event-log';
import { messageText } from './chat-completion-request';
import type { ChatCompletionRequest } from './chat-completion-request';
import type { EngineBehaviour } from './engine-options';
import { messageHash, messageTokens } from './expected-response';
import { PrefixCache } from './prefix-cache';
import type { CachedMessage } from './prefix-cache';
import { RunLog } from './run-log';
import { createSequence } from './sequence';
import type { Sequence, Submission } from './sequence';

const MS_PER_SECOND = 1000;
/** Time within which routers must notice that an engine is leaving. */
const LEAVING_GRACE = seconds(5);

/** Reason for which a request was rejected; no part of it ran. */
export interface SubmitRejection {
  readonly kind: 'full' | 'model' | 'leaving' | 'duplicate';
}

/** Load of an engine at one moment. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Share of the prefix cache in use, from 0 to 1. */
  readonly cacheUsage: number;
}

/** Result of one step of computation. */
export type StepOutcome = 'progressed' | 'crashed';

const IDLE: EngineLoad = { running: 0, waiting: 0, cacheUsage: 0 };

export class EngineModel {
  readonly runLog = new RunLog();
  readonly #behaviour: EngineBehaviour;
  readonly #sequences = new Table<AttemptId, Sequence>();
  readonly #running = new Set<Sequence>();
  readonly #waiting: Sequence[] = [];
  /** Ended sequences whose streams can still be resumed, oldest first. */
  readonly #ended: Sequence[] = [];
  readonly #cache: PrefixCache;
  readonly #events: CacheEventLog;
  #models: readonly string[];
  #incarnation: number;
  #submissionCount = 0;
  #lastStep: Instant;
  #wallTimeMs = 0;
  #publishedLoad = IDLE;
  #sampledLoad = IDLE;
  #sampledAt: Instant;
  #stalledUntil: Instant;
  /** Factor by which prefill and generation are slowed down; 1 is normal speed. */
  slowFactor = 1;
  #leavingSince: Instant | undefined;
  #sentLate = 0;

  constructor(behaviour: EngineBehaviour, now: Instant) {
    this.#behaviour = behaviour;
    this.#models = behaviour.models;
    this.#incarnation = behaviour.incarnation;
    this.#lastStep = now;
    this.#sampledAt = now;
    this.#stalledUntil = now;
    this.#events = new CacheEventLog(
      behaviour.cacheEventLag,
      behaviour.cacheEventLoss,
      new Random(behaviour.seed),
    );
    this.#cache = new PrefixCache(behaviour.cacheTokens, (prefix, tokens) => {
      this.#events.add('evicted', prefix, tokens, this.#lastStep);
    });
  }

  get models(): readonly string[] {
    return this.#models;
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** Whether new requests are rejected while accepted ones are completed. */
  get leaving(): boolean {
    return this.#leavingSince !== undefined;
  }

  /** Requests that arrived more than `LEAVING_GRACE` after the engine started leaving. */
  get sentLate(): number {
    return this.#sentLate;
  }

  /** Whether any sequence is running or waiting. */
  get busy(): boolean {
    return this.#running.size > 0 || this.#waiting.length > 0;
  }

  get load(): EngineLoad {
    return {
      running: this.#running.size,
      waiting: this.#waiting.length,
      cacheUsage: this.#cache.tokens / this.#behaviour.cacheTokens,
    };
  }

  /** The load that the metrics report, which lags behind `load`. */
  get publishedLoad(): EngineLoad {
    return this.#publishedLoad;
  }

  startLeaving(now: Instant): void {
    this.#leavingSince ??= now;
  }

  /** Accepts new requests again. */
  cancelLeaving(): void {
    this.#leavingSince = undefined;
  }

  setModels(models: readonly string[]): void {
    this.#models = models;
  }

  /** Suspends prefill and generation until the given time. */
  stallUntil(until: Instant): void {
    this.#stalledUntil = until;
  }

  sequence(id: AttemptId): Sequence | undefined {
    return this.#sequences.get(id);
  }

  submit(
    submission: Submission,
    now: Instant,
  ): Result<Sequence, SubmitRejection> {
    if (this.#isPastLeavingGrace(now)) {
      this.#sentLate += 1;
    }
    const rejection = this.#rejectionOf(submission);
    if (rejection) {
      return fail(rejection);
    }
    this.#submissionCount += 1;
    const created = Math.floor(this.#wallTimeMs / MS_PER_SECOND);
    const sequence = createSequence(submission, this.#submissionCount, created);
    this.#sequences.put(sequence);
    const priority = sequence.request.priority ?? 0;
    const position = this.#waiting.findIndex(
      other => (other.request.priority ?? 0) > priority,
    );
    this.#waiting.splice(
      position < 0 ? this.#waiting.length : position,
      0,
      sequence,
    );
    return succeed(sequence);
  }

  /** Ends a sequence early; returns false if it is unknown or has already ended. */
  cancel(id: AttemptId, now: Instant): boolean {
    const sequence = this.#sequences.get(id);
    if (!sequence || sequence.endedAt !== undefined) {
      return false;
    }
    const position = this.#waiting.indexOf(sequence);
    if (position >= 0) {
      this.#waiting.splice(position, 1);
    }
    this.#end(sequence, 'cancelled', now);
    return true;
  }

  /**
   * Advances the computation to `now`.
   * @param wallTimeMs milliseconds since the Unix epoch, for the run log
   */
  step(now: Instant, wallTimeMs: number): StepOutcome {
    const elapsedMs = Math.max(0, elapsed(this.#lastStep, now));
    this.#lastStep = now;
    this.#wallTimeMs = wallTimeMs;
    this.#sample(now);
    this.#removeExpired(now);
    if (now < this.#stalledUntil) {
      return 'progressed';
    }
    if (this.#admit()) {
      return 'crashed';
    }
    this.#prefill(elapsedMs);
    this.#generate(elapsedMs, now);
    return this.#admit() ? 'crashed' : 'progressed';
  }

  /** Discards every sequence and the cache, and starts a new incarnation. */
  crash(now: Instant): void {
    for (const sequence of this.#running) {
      this.runLog.end(sequence.id, 'crashed', this.#wallTimeMs);
    }
    for (const id of [...this.#sequences.ids()]) {
      this.#sequences.delete(id);
    }
    this.#running.clear();
    this.#waiting.length = 0;
    this.#ended.length = 0;
    this.#cache.clear();
    this.#events.add('cleared', '', 0, now);
    this.#incarnation += 1;
    this.cancelLeaving();
  }

  exportPrefix(prefix: string): readonly CachedMessage[] | undefined {
    return this.#cache.peek(prefix);
  }

  importPrefix(
    prefix: string,
    messages: readonly CachedMessage[],
    now: Instant,
  ): void {
    this.#store(prefix, messages, now);
  }

  cacheEvents(after: number, now: Instant): CacheEvent[] {
    return this.#events.eventsAfter(after, now);
  }

  #isPastLeavingGrace(now: Instant): boolean {
    const since = this.#leavingSince;
    return since !== undefined && elapsed(since, now) > LEAVING_GRACE;
  }

  #rejectionOf(submission: Submission): SubmitRejection | undefined {
    if (this.leaving) {
      return { kind: 'leaving' };
    }
    if (!this.#models.includes(submission.request.model)) {
      return { kind: 'model' };
    }
    if (this.#sequences.has(submission.id)) {
      return { kind: 'duplicate' };
    }
    const { capacity, waitingLimit } = this.#behaviour;
    const accepted = this.#running.size + this.#waiting.length;
    return accepted >= capacity + waitingLimit ? { kind: 'full' } : undefined;
  }

  /** Moves waiting sequences into the batch; returns true if one crashes the engine. */
  #admit(): boolean {
    while (this.#running.size < this.#behaviour.capacity) {
      const sequence = this.#waiting.shift();
      if (!sequence) {
        return false;
      }
      this.#begin(sequence);
      if (this.#hasCrashMarker(sequence.request)) {
        return true;
      }
    }
    return false;
  }

  #begin(sequence: Sequence): void {
    sequence.phase = 'running';
    sequence.cachedTokens = this.#cache.cachedTokens(
      sequence.chat,
      sequence.prompt,
    );
    sequence.remainingPrefillTokens =
      sequence.promptTokens - sequence.cachedTokens;
    this.#running.add(sequence);
    this.runLog.begin({
      attempt: sequence.id,
      contentHash: sequence.contentHash,
      chat: sequence.chat,
      incarnation: this.#incarnation,
      startedAt: this.#wallTimeMs,
    });
  }

  #hasCrashMarker(request: ChatCompletionRequest): boolean {
    const { crashMarker } = this.#behaviour;
    return (
      crashMarker !== '' &&
      request.messages.some(message =>
        messageText(message).includes(crashMarker),
      )
    );
  }

  #prefill(elapsedMs: number): void {
    const tokensPerMs = this.#behaviour.prefillTokensPerSecond / MS_PER_SECOND;
    let budget = (elapsedMs * tokensPerMs) / this.slowFactor;
    for (const sequence of this.#running) {
      const used = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= used;
      budget -= used;
    }
  }

  #generate(elapsedMs: number, now: Instant): void {
    const { tokensPerSecond, batchSlowdown } = this.#behaviour;
    const batchFactor = 1 + batchSlowdown * (this.#running.size - 1);
    const tokens =
      (elapsedMs * tokensPerSecond) /
      MS_PER_SECOND /
      batchFactor /
      this.slowFactor;
    for (const sequence of [...this.#running]) {
      if (sequence.remainingPrefillTokens > 0) {
        continue;
      }
      sequence.generatedTokens += tokens;
      if (sequence.generatedTokens >= sequence.tokens.length) {
        this.#end(sequence, 'finished', now);
      }
    }
  }

  #end(sequence: Sequence, end: 'finished' | 'cancelled', now: Instant): void {
    sequence.phase = end;
    sequence.endedAt = now;
    this.#ended.push(sequence);
    this.#running.delete(sequence);
    this.runLog.end(sequence.id, end, this.#wallTimeMs);
    if (end === 'finished') {
      const content = sequence.tokens.join('');
      const message = { role: 'assistant', content };
      const cachedMessage = {
        hash: messageHash(message),
        tokens: messageTokens(message),
      };
      this.#store(sequence.chat, [...sequence.prompt, cachedMessage], now);
    }
  }

  #store(
    prefix: string,
    messages: readonly CachedMessage[],
    now: Instant,
  ): void {
    const tokens = this.#cache.store(prefix, messages);
    this.#events.add('stored', prefix, tokens, now);
  }

  #sample(now: Instant): void {
    const period = milliseconds(this.#behaviour.metricsLag / 2);
    if (elapsed(this.#sampledAt, now) >= period) {
      this.#publishedLoad = this.#sampledLoad;
      this.#sampledLoad = this.load;
      this.#sampledAt = now;
    }
  }

  #removeExpired(now: Instant): void {
    for (
      let oldest = this.#ended[0];
      oldest?.endedAt !== undefined;
      oldest = this.#ended[0]
    ) {
      if (elapsed(oldest.endedAt, now) <= this.#behaviour.linger) {
        return;
      }
      this.#ended.shift();
      this.#sequences.delete(oldest.id);
    }
  }
}
