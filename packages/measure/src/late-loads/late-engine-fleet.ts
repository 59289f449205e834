/** Routers that place prompts at engines by late loads. */
import { LRUCache } from 'lru-cache';

import { EnginePlacement } from '@sesamegrade/core/engines/engine-placement';
import { SubjectShares } from '@sesamegrade/core/loads/subject-shares';
import type { Prompt } from '@sesamegrade/core/prompts/prompt-chain';
import { modelId, promptPartId, serviceId } from '@sesamegrade/core/types/ids';
import type { PromptPartId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import { LateLoadsFleet } from './late-loads-fleet';
import type { LateLoadsOptions } from './late-loads-fleet';

const SERVICE = serviceId('engines');
const SUBJECT_TOKENS = 10_000;
const OWN_TOKENS = 1000;
const PREFILL_TOKENS_PER_MS = 50;
const SUBJECTS = 60;
/** Subjects that an engine has cached. */
const CACHED_SUBJECTS = 16;

export interface LateEngineOptions extends LateLoadsOptions {
  /** Share of the requests that are about one subject. */
  readonly hotShare: number;
  readonly slots: number;
  /** Mean time in ms for which a request runs, without its prefill. */
  readonly work: number;
}

export class LateEngineFleet extends LateLoadsFleet {
  readonly #options: LateEngineOptions;
  readonly #placement = new EnginePlacement();
  readonly #caches: readonly LRUCache<PromptPartId, true>[];
  readonly #indexes: ReadonlyMap<string, number>;
  readonly #shares = new Map<number, SubjectShares>();
  #missed = 0;

  constructor(options: LateEngineOptions) {
    super(options);
    this.#options = options;
    this.#caches = this.ids.map(() => new LRUCache({ max: CACHED_SUBJECTS }));
    this.#indexes = new Map(this.ids.map((id, at) => [id, at]));
  }

  /** Requests that reached an engine without their subject. */
  get missed(): number {
    return this.#missed;
  }

  protected override place(
    router: number,
    now: number,
  ): {
    readonly endpoint: number;
    readonly duration: number;
  } {
    const { slots, work } = this.#options;
    const { subject, prompt } = this.#nextPrompt();
    const shares = this.#sharesOf(router);
    shares.record(SERVICE, subject, instant(now));
    const isCachedAt = (part: PromptPartId, at: number) =>
      this.#caches[at]?.has(part) ?? false;
    const choice = this.#placement.choose(
      prompt,
      this.ids.map((id, at) => ({
        id,
        own: this.view.own(router, at),
        others: this.view.others(router, at),
        slots,
      })),
      (part, engine) => isCachedAt(part, this.#indexes.get(engine) ?? -1),
      part => this.#caches.some(cache => cache.has(part)),
      {
        unseen: this.unseen(router),
        subjectShare: shares.shareOfOthers(SERVICE, subject, instant(now)),
        random: this.random,
      },
    );
    const endpoint = this.#indexes.get(choice?.id ?? '') ?? 0;
    const missing = isCachedAt(subject, endpoint) ? 0 : SUBJECT_TOKENS;
    this.#missed += Number(missing > 0);
    this.#caches[endpoint]?.set(subject, true);
    return {
      endpoint,
      duration:
        this.random.exponential(work) +
        (missing + OWN_TOKENS) / PREFILL_TOKENS_PER_MS,
    };
  }

  #sharesOf(router: number): SubjectShares {
    const shares = this.#shares.get(router) ?? new SubjectShares();
    this.#shares.set(router, shares);
    return shares;
  }

  #nextPrompt(): { readonly subject: PromptPartId; readonly prompt: Prompt } {
    const isHot = this.random.fraction() < this.#options.hotShare;
    const at = isHot ? 0 : this.random.integer(1, SUBJECTS);
    const subject = promptPartId(`s${at}`);
    return {
      subject,
      prompt: {
        model: modelId('m'),
        parts: [
          { id: subject, tokens: SUBJECT_TOKENS },
          { id: promptPartId('own'), tokens: OWN_TOKENS },
        ],
        promptTokens: SUBJECT_TOKENS + OWN_TOKENS,
        maxOutputTokens: 400,
        expectedOutputTokens: undefined,
      },
    };
  }
}
