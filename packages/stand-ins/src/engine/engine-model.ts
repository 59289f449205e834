/** Continuous batching with a prefix cache, without sockets or clock. */
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
/** Time in which routers are to notice that an engine leaves. */
const LEAVING_GRACE = seconds(5);

/** Why a request was not taken; nothing of it was run. */
export interface SubmitRefusal {
  readonly kind: 'full' | 'model' | 'leaving' | 'duplicate';
}

/** Load at one moment. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  /** Part of the cache's memory in use. */
  readonly cacheUsage: number;
}

/** What a step did. */
export type StepOutcome = 'progressed' | 'crashed';

const IDLE: EngineLoad = { running: 0, waiting: 0, cacheUsage: 0 };

export class EngineModel {
  readonly runLog = new RunLog();
  readonly #behaviour: EngineBehaviour;
  readonly #sequences = new Table<AttemptId, Sequence>();
  readonly #running = new Set<Sequence>();
  readonly #waiting: Sequence[] = [];
  /** Sequences whose streams can still be read, the oldest first. */
  readonly #ended: Sequence[] = [];
  readonly #cache: PrefixCache;
  readonly #events: CacheEventLog;
  #models: readonly string[];
  #incarnation: number;
  #order = 0;
  #lastStep: Instant;
  #wallTime = 0;
  #published = IDLE;
  #sampled = IDLE;
  #sampledAt: Instant;
  #stalledUntil: Instant;
  /** Factor by which everything takes longer. */
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

  /** Whether new requests are refused, while those at hand are finished. */
  get leaving(): boolean {
    return this.#leavingSince !== undefined;
  }

  /** Requests that arrived more than `LEAVING_GRACE` after it began to leave. */
  get sentLate(): number {
    return this.#sentLate;
  }

  /** Whether there is anything to compute. */
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

  /** The load as the metrics show it, late. */
  get publishedLoad(): EngineLoad {
    return this.#published;
  }

  startLeaving(now: Instant): void {
    this.#leavingSince ??= now;
  }

  /** Takes new requests again. */
  cancelLeaving(): void {
    this.#leavingSince = undefined;
  }

  setModels(models: readonly string[]): void {
    this.#models = models;
  }

  /** Generates nothing until then. */
  stallUntil(until: Instant): void {
    this.#stalledUntil = until;
  }

  sequence(id: AttemptId): Sequence | undefined {
    return this.#sequences.get(id);
  }

  submit(
    submission: Submission,
    now: Instant,
  ): Result<Sequence, SubmitRefusal> {
    if (this.#leavesLong(now)) {
      this.#sentLate += 1;
    }
    const refusal = this.#refusal(submission);
    if (refusal) {
      return fail(refusal);
    }
    this.#order += 1;
    const created = Math.floor(this.#wallTime / MS_PER_SECOND);
    const sequence = createSequence(submission, this.#order, created);
    this.#sequences.put(sequence);
    const priority = sequence.request.priority ?? 0;
    const place = this.#waiting.findIndex(
      other => (other.request.priority ?? 0) > priority,
    );
    this.#waiting.splice(place < 0 ? this.#waiting.length : place, 0, sequence);
    return succeed(sequence);
  }

  /** Ends a sequence early; returns false when it is not known or has ended. */
  cancel(id: AttemptId, now: Instant): boolean {
    const sequence = this.#sequences.get(id);
    if (!sequence || sequence.endedAt !== undefined) {
      return false;
    }
    const place = this.#waiting.indexOf(sequence);
    if (place >= 0) {
      this.#waiting.splice(place, 1);
    }
    this.#end(sequence, 'cancelled', now);
    return true;
  }

  /**
   * Computes up to the given time.
   * @param wallTime milliseconds since the Unix epoch, for the record of runs
   */
  step(now: Instant, wallTime: number): StepOutcome {
    const spent = Math.max(0, elapsed(this.#lastStep, now));
    this.#lastStep = now;
    this.#wallTime = wallTime;
    this.#sample(now);
    this.#expire(now);
    if (now < this.#stalledUntil) {
      return 'progressed';
    }
    if (this.#admit()) {
      return 'crashed';
    }
    this.#prefill(spent);
    this.#generate(spent, now);
    return this.#admit() ? 'crashed' : 'progressed';
  }

  /** Loses every sequence and the cache; a new incarnation begins. */
  crash(now: Instant): void {
    for (const sequence of this.#running) {
      this.runLog.end(sequence.id, 'crashed', this.#wallTime);
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

  #leavesLong(now: Instant): boolean {
    const since = this.#leavingSince;
    return since !== undefined && elapsed(since, now) > LEAVING_GRACE;
  }

  #refusal(submission: Submission): SubmitRefusal | undefined {
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
    const held = this.#running.size + this.#waiting.length;
    return held >= capacity + waitingLimit ? { kind: 'full' } : undefined;
  }

  /** Moves waiting sequences into the batch; true when one crashes the engine. */
  #admit(): boolean {
    while (this.#running.size < this.#behaviour.capacity) {
      const sequence = this.#waiting.shift();
      if (!sequence) {
        return false;
      }
      this.#begin(sequence);
      if (this.#crashes(sequence.request)) {
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
      startedAt: this.#wallTime,
    });
  }

  #crashes(request: ChatCompletionRequest): boolean {
    const { crashMarker } = this.#behaviour;
    return (
      crashMarker !== '' &&
      request.messages.some(message =>
        messageText(message).includes(crashMarker),
      )
    );
  }

  #prefill(spent: number): void {
    const perMs = this.#behaviour.prefillTokensPerSecond / MS_PER_SECOND;
    let budget = (spent * perMs) / this.slowFactor;
    for (const sequence of this.#running) {
      const used = Math.min(budget, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= used;
      budget -= used;
    }
  }

  #generate(spent: number, now: Instant): void {
    const { tokensPerSecond, batchSlowdown } = this.#behaviour;
    const stretch = 1 + batchSlowdown * (this.#running.size - 1);
    const tokens =
      (spent * tokensPerSecond) / MS_PER_SECOND / stretch / this.slowFactor;
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
    this.runLog.end(sequence.id, end, this.#wallTime);
    if (end === 'finished') {
      const content = sequence.tokens.join('');
      const answer = { role: 'assistant', content };
      const cached = {
        hash: messageHash(answer),
        tokens: messageTokens(answer),
      };
      this.#store(sequence.chat, [...sequence.prompt, cached], now);
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
      this.#published = this.#sampled;
      this.#sampled = this.load;
      this.#sampledAt = now;
    }
  }

  #expire(now: Instant): void {
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
