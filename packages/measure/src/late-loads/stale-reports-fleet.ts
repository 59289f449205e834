/**
 * Simulates routers that place prompts at engines whose speed changes. A router sees the others'
 * counts late, and the load and speed of an engine, as these were some time before, in the head of
 * each response that it gets.
 */
import { LRUCache } from 'lru-cache';

import {
  DEFAULT_ENGINE_PLACEMENT_OPTIONS,
  EnginePlacement,
} from '@sesamegrade/core/engines/engine-placement';
import type {
  EngineCandidate,
  EnginePlacementOptions,
} from '@sesamegrade/core/engines/engine-placement';
import { rankMembers } from '@sesamegrade/core/hashing/rendezvous';
import { EndpointSpeeds } from '@sesamegrade/core/loads/endpoint-speeds';
import type { EndpointSpeedsOptions } from '@sesamegrade/core/loads/endpoint-speeds';
import { SubjectShares } from '@sesamegrade/core/loads/subject-shares';
import type { Prompt } from '@sesamegrade/core/prompts/prompt-chain';
import { modelId, promptPartId, serviceId } from '@sesamegrade/core/types/ids';
import type { EndpointId, PromptPartId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import { quantile } from '../report/figures';
import { EngineNoise } from './engine-noise';
import type { NoiseOptions } from './engine-noise';
import { LateLoadsFleet } from './late-loads-fleet';
import type { LateLoadsOptions } from './late-loads-fleet';

const SERVICE = serviceId('engines');
const SUBJECT_TOKENS = 10_000;
const OWN_TOKENS = 1000;
const PREFILL_TOKENS_PER_MS = 50;
const FETCH_TOKENS_PER_MS = 300;
const WAIT_MS_PER_REQUEST = 1.5;
const SUBJECTS = 60;
/** Subjects that an engine has cached. */
const CACHED_SUBJECTS = 16;
const SAMPLE_PERIOD = 50;
/** Engines beside the holders among which a choice is made, and the part of all of a subset. */
const HASH_CHOICES = 4;
const SUBSET_SHARE = 1 / 3;

/** How a router places: which of an engine's report it uses, and among which engines it chooses. */
export type PlacementWay =
  /** The others' counts only. */
  | 'counts'
  | 'speed'
  | 'correction'
  | 'speed and correction'
  /** The speed of an engine reaches all routers with the counts. */
  | 'shared speed'
  /** The true speed at the time of the choice. */
  | 'exact speed'
  /** The least cost among the holders and the next engines by the hash. */
  | 'few choices'
  /** At random by free room times speed among the holders, or all if these have no room. */
  | 'proportional'
  /** The least cost among the engines of the router's subset. */
  | 'subset';

export const PLACEMENT_WAYS: readonly PlacementWay[] = [
  'counts',
  'speed',
  'correction',
  'speed and correction',
  'shared speed',
  'exact speed',
  'few choices',
  'proportional',
  'subset',
];

export interface StaleReportsOptions extends LateLoadsOptions {
  readonly way: PlacementWay;
  readonly slots: number;
  /** Mean time in ms for which a request runs, without its prefill. */
  readonly work: number;
  /** Time in ms by which an engine's report is older than the response head. */
  readonly reportLag: number;
  readonly noise: NoiseOptions;
  /** Share of the requests that are about one subject. */
  readonly hotShare: number;
  /** Simulated time in seconds before the figures are taken. */
  readonly warmUp: number;
  /** Engines that report no request and twice the usual speed. */
  readonly falseReports: number;
  readonly speeds?: EndpointSpeedsOptions;
  readonly placement?: Partial<EnginePlacementOptions>;
}

export interface StaleReportsFigures {
  readonly maxOverMean: number;
  readonly weightedMaxOverMean: number;
  /** Share of the requests that wait at an engine while another one has a free slot. */
  readonly needlessWaits: number;
  readonly firstTokenMedian: number;
  readonly firstTokenP99: number;
  /** Prompt tokens of subjects that were read at an engine, in thousands. */
  readonly subjectTokensRead: number;
  /** Share of the requests that reached the engines with false reports. */
  readonly shareOfFalse: number;
}

interface Ratios {
  plain: number;
  weighted: number;
  samples: number;
}

export class StaleReportsFleet extends LateLoadsFleet {
  readonly #options: StaleReportsOptions;
  readonly #placement: EnginePlacement;
  readonly #noise: EngineNoise;
  readonly #caches: readonly LRUCache<PromptPartId, true>[];
  readonly #indexes: ReadonlyMap<string, number>;
  readonly #shares = new Map<number, SubjectShares>();
  readonly #speeds = new Map<number, EndpointSpeeds>();
  readonly #subsets = new Map<number, ReadonlySet<EndpointId>>();
  readonly #ranked = new Map<PromptPartId, readonly EndpointId[]>();
  readonly #freeAt: number[][];
  /** Requests at engines, as these report them. */
  readonly #reported: Int32Array;
  readonly #ratios: Ratios = { plain: 0, weighted: 0, samples: 0 };
  readonly #firstTokens: number[] = [];
  #measured = 0;
  #needlessWaits = 0;
  #missed = 0;
  #atFalse = 0;

  constructor(options: StaleReportsOptions) {
    super(options);
    this.#options = options;
    this.#placement = new EnginePlacement({
      ...DEFAULT_ENGINE_PLACEMENT_OPTIONS,
      ...options.placement,
    });
    this.#noise = new EngineNoise(
      options.endpoints,
      options.noise,
      options.seed + 1,
    );
    this.#caches = this.ids.map(() => new LRUCache({ max: CACHED_SUBJECTS }));
    this.#indexes = new Map(this.ids.map((id, at) => [id, at]));
    this.#freeAt = this.ids.map(() =>
      Array.from({ length: options.slots }, () => 0),
    );
    this.#reported = new Int32Array(options.endpoints);
    this.#scheduleSample(options.warmUp * 1000);
  }

  get figures(): StaleReportsFigures {
    const { plain, weighted, samples } = this.#ratios;
    return {
      maxOverMean: plain / samples,
      weightedMaxOverMean: weighted / samples,
      needlessWaits: this.#needlessWaits / this.#measured,
      firstTokenMedian: quantile(this.#firstTokens, 0.5),
      firstTokenP99: quantile(this.#firstTokens, 0.99),
      subjectTokensRead: (this.#missed * SUBJECT_TOKENS) / 1000,
      shareOfFalse: this.#atFalse / this.#measured,
    };
  }

  protected override place(
    router: number,
    now: number,
  ): { readonly endpoint: number; readonly duration: number } {
    const { work } = this.#options;
    const { subject, prompt } = this.#nextPrompt();
    const shares = this.#sharesOf(router);
    shares.record(SERVICE, subject, instant(now));
    const endpoint = this.#choose(router, subject, prompt, now);
    const isCached = this.#caches[endpoint]?.has(subject) ?? false;
    const isElsewhere = this.#isFetchable(subject);
    this.#caches[endpoint]?.set(subject, true);
    const running = this.view.loads[endpoint] ?? 0;
    const toPrefill =
      OWN_TOKENS + (isCached || isElsewhere ? 0 : SUBJECT_TOKENS);
    const toFetch = !isCached && isElsewhere ? SUBJECT_TOKENS : 0;
    const reading =
      toPrefill / PREFILL_TOKENS_PER_MS +
      toFetch / FETCH_TOKENS_PER_MS +
      running * WAIT_MS_PER_REQUEST;
    const free = this.#freeAt[endpoint] ?? [];
    const slot = free.indexOf(Math.min(...free));
    const start = Math.max(now, free[slot] ?? now);
    const firstToken = this.#noise.finish(endpoint, start, reading);
    const end = this.#noise.finish(
      endpoint,
      firstToken,
      this.random.exponential(work),
    );
    this.#record(endpoint, now, start, firstToken, isCached);
    free[slot] = end;
    this.#reportChange(endpoint, now, 1);
    this.#reportChange(endpoint, end, -1);
    this.schedule(firstToken, () => {
      this.#onHead(router, endpoint, firstToken);
    });
    return { endpoint, duration: end - now };
  }

  #record(
    endpoint: number,
    now: number,
    start: number,
    firstToken: number,
    isCached: boolean,
  ): void {
    const { warmUp, slots, falseReports } = this.#options;
    if (now < warmUp * 1000) {
      return;
    }
    const hasRoom = this.view.loads.some(load => load < slots);
    this.#measured += 1;
    this.#needlessWaits += Number(start > now && hasRoom);
    this.#firstTokens.push(firstToken - now);
    this.#missed += Number(!isCached);
    this.#atFalse += Number(endpoint < falseReports);
  }

  #reportChange(endpoint: number, at: number, by: number): void {
    this.schedule(at + this.#options.reportLag, () => {
      this.#reported[endpoint] = (this.#reported[endpoint] ?? 0) + by;
    });
  }

  /** Applies the load header of a response. */
  #onHead(router: number, endpoint: number, now: number): void {
    const { reportLag, falseReports, way, lag } = this.#options;
    const id = this.ids[endpoint];
    if (id === undefined) {
      return;
    }
    const isFalse = endpoint < falseReports;
    const requests = isFalse ? 0 : (this.#reported[endpoint] ?? 0);
    const slowdown = isFalse
      ? 0.5
      : this.#noise.slowdown(endpoint, now - reportLag);
    if (way === 'shared speed') {
      this.schedule(now + lag, () => {
        this.#speedsOf(0).onReport(id, { others: 0, slowdown }, instant(now));
      });
      return;
    }
    const others = Math.max(0, requests - this.view.own(router, endpoint));
    this.#speedsOf(router).onReport(id, { others, slowdown }, instant(now));
  }

  #choose(
    router: number,
    subject: PromptPartId,
    prompt: Prompt,
    now: number,
  ): number {
    const { way } = this.#options;
    const all = this.ids.map((id, at) => this.#candidate(router, id, at, now));
    const isCachedAt = (part: PromptPartId, engine: EndpointId) =>
      this.#caches[this.#indexes.get(engine) ?? -1]?.has(part) ?? false;
    const isHolder = ({ id }: EngineCandidate) => isCachedAt(subject, id);
    if (way === 'proportional') {
      const holders = all.filter(isHolder);
      const id = this.#byRoom(holders) ?? this.#byRoom(all) ?? all[0]?.id;
      return this.#indexes.get(id ?? '') ?? 0;
    }
    const among =
      way === 'few choices'
        ? all.filter(
            candidate =>
              isHolder(candidate) ||
              this.#rankedFor(subject)
                .slice(0, HASH_CHOICES)
                .includes(candidate.id),
          )
        : way === 'subset'
          ? all.filter(({ id }) => this.#subsetOf(router).has(id))
          : all;
    const choice = this.#placement.choose(
      prompt,
      among,
      isCachedAt,
      part => this.#isFetchable(part),
      {
        unseen: this.unseen(router),
        subjectShare: this.#sharesOf(router).shareOfOthers(
          SERVICE,
          subject,
          instant(now),
        ),
        random: this.random,
      },
    );
    return this.#indexes.get(choice?.id ?? '') ?? 0;
  }

  #candidate(
    router: number,
    id: EndpointId,
    at: number,
    now: number,
  ): EngineCandidate {
    const { way, slots } = this.#options;
    const others = this.view.others(router, at);
    const speeds = this.#speedsOf(way === 'shared speed' ? 0 : router);
    const usesSpeed = way !== 'counts' && way !== 'correction';
    const usesCount =
      way !== 'counts' && way !== 'speed' && way !== 'shared speed';
    const speed =
      way === 'exact speed'
        ? 1 / this.#noise.slowdown(at, now)
        : usesSpeed
          ? speeds.speed(id, instant(now))
          : undefined;
    return {
      id,
      own: this.view.own(router, at),
      others,
      correction: usesCount ? speeds.correction(id, others, instant(now)) : 0,
      ...(speed !== undefined && { speed }),
      slots,
    };
  }

  /** Chooses at random by free room times speed; returns undefined if there is no room. */
  #byRoom(among: readonly EngineCandidate[]): EndpointId | undefined {
    const rooms = among.map(
      ({ own, others, correction = 0, slots, speed = 1 }) =>
        Math.max(0, slots - own - others - correction) * speed,
    );
    let left =
      this.random.fraction() * rooms.reduce((sum, room) => sum + room, 0);
    return among.find((_candidate, at) => {
      left -= rooms[at] ?? 0;
      return left < 0;
    })?.id;
  }

  #isFetchable(part: PromptPartId): boolean {
    return this.#caches.some(cache => cache.has(part));
  }

  #scheduleSample(at: number): void {
    this.schedule(at, () => {
      this.#sample(at);
      this.#scheduleSample(at + SAMPLE_PERIOD);
    });
  }

  #sample(now: number): void {
    const loads = [...this.view.loads];
    const weighted = loads.map(
      (load, at) => load * this.#noise.slowdown(at, now),
    );
    this.#ratios.plain += maxOverMean(loads);
    this.#ratios.weighted += maxOverMean(weighted);
    this.#ratios.samples += 1;
  }

  #sharesOf(router: number): SubjectShares {
    const shares = this.#shares.get(router) ?? new SubjectShares();
    this.#shares.set(router, shares);
    return shares;
  }

  #speedsOf(router: number): EndpointSpeeds {
    const speeds =
      this.#speeds.get(router) ?? new EndpointSpeeds(this.#options.speeds);
    this.#speeds.set(router, speeds);
    return speeds;
  }

  #subsetOf(router: number): ReadonlySet<EndpointId> {
    const count = Math.ceil(this.ids.length * SUBSET_SHARE);
    const subset =
      this.#subsets.get(router) ??
      new Set(rankMembers(`router ${router}`, this.ids).slice(0, count));
    this.#subsets.set(router, subset);
    return subset;
  }

  #rankedFor(subject: PromptPartId): readonly EndpointId[] {
    const ranked = this.#ranked.get(subject) ?? rankMembers(subject, this.ids);
    this.#ranked.set(subject, ranked);
    return ranked;
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

function maxOverMean(loads: readonly number[]): number {
  const total = loads.reduce((sum, load) => sum + load, 0);
  return total === 0 ? 1 : (Math.max(...loads) * loads.length) / total;
}
