import { expect } from 'chai';

import { Random } from '../random/random';
import { endpointId, modelId, promptPartId } from '../types/ids';
import type { EndpointId, PromptPartId } from '../types/ids';
import type { Prompt } from '../prompts/prompt-chain';
import { EnginePlacement } from './engine-placement';
import type { EngineCandidate } from './engine-placement';

const SLOTS = 64;

const engines = (loads: readonly number[]): EngineCandidate[] =>
  loads.map((load, at) => ({
    id: endpointId(`e${at}`),
    own: 0,
    others: load,
    slots: SLOTS,
  }));

const prompt = (subject: string): Prompt => ({
  model: modelId('m'),
  parts: [
    { id: promptPartId('system'), tokens: 500 },
    { id: promptPartId(subject), tokens: 10_000 },
    { id: promptPartId('own'), tokens: 1000 },
  ],
  promptTokens: 11_500,
  maxOutputTokens: 400,
  expectedOutputTokens: undefined,
});

type CachedParts = ReadonlyMap<string, readonly EndpointId[]>;

const NO_CACHED_PARTS: CachedParts = new Map();
const isCachedIn =
  (cached: CachedParts) => (part: PromptPartId, engine: EndpointId) =>
    cached.get(part)?.includes(engine) ?? false;
const isFetchableIn = (cached: CachedParts) => (part: PromptPartId) =>
  cached.has(part);

const place = (
  subject: string,
  loads: readonly number[],
  cached = NO_CACHED_PARTS,
) =>
  new EnginePlacement().choose(
    prompt(subject),
    engines(loads),
    isCachedIn(cached),
    isFetchableIn(cached),
  );

describe('EnginePlacement', () => {
  it('chooses the same engine for a new subject on routers with different views of load', () => {
    const random = new Random(1);
    const view = () =>
      [8, 9, 10, 8, 9, 10].map(load => load + random.integer(0, 3));
    for (let subject = 0; subject < 30; subject += 1) {
      const choices = [1, 2, 3].map(() => place(`s${subject}`, view())?.id);
      expect(new Set(choices).size, `subject ${subject}`).to.equal(1);
    }
  });

  it('sends a cached subject to the engine that has it', () => {
    const cached = new Map([
      ['s', [endpointId('e3')]],
      ['system', [endpointId('e3')]],
    ]);
    const choice = place('s', [5, 5, 5, 9, 5, 5], cached);
    expect(choice).to.include({ id: 'e3', reason: 'holder', missing: 1000 });
  });

  it('spills the requests of one hot subject before its engine exceeds the bound', () => {
    const cached = new Map([
      ['s', [endpointId('e0')]],
      ['system', [endpointId('e0')]],
    ]);
    const loads = [0, 0, 0, 0, 0, 0];
    const placement = new EnginePlacement();
    for (let count = 0; count < 60; count += 1) {
      const candidates = engines(loads);
      const choice = placement.choose(
        prompt('s'),
        candidates,
        isCachedIn(cached),
        isFetchableIn(cached),
      );
      const at = Number(choice?.id.slice(1));
      const before = loads[at] ?? 0;
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      expect(before).to.be.at.most(2 * mean + 3);
      loads[at] = before + 1;
    }
    expect(Math.min(...loads)).to.be.greaterThan(0);
  });

  it('chooses the least loaded engine when every engine is over its slots', () => {
    const choice = place('s', [70, 90, 66, 80, 75, 71]);
    expect(choice?.id).to.equal('e2');
  });

  it('returns undefined without candidates', () => {
    expect(place('s', [])).to.equal(undefined);
  });

  // Guards against a false report of one engine that shifts the bound of all, and with it the balance.
  it('leaves what engines report of themselves out of the bound', () => {
    const placement = new EnginePlacement();
    const [first, ...others] = engines([5, 5, 5, 5]);
    const reported = first ? [{ ...first, correction: 1e6, speed: 0.01 }] : [];
    expect(placement.bound([...reported, ...others])).to.equal(
      placement.bound(engines([5, 5, 5, 5])),
    );
  });

  // Guards against requests that wait at an engine which no peer counts as full.
  it('avoids an engine whose own report shows that it is full', () => {
    const holders = [endpointId('e0')];
    const cached = new Map([
      ['s', holders],
      ['system', holders],
    ]);
    const placeBy = (correction: number) =>
      new EnginePlacement().choose(
        prompt('s'),
        engines([20, 20, 20]).map((candidate, at) => ({
          ...candidate,
          slots: 24,
          correction: at === 0 ? correction : 0,
        })),
        isCachedIn(cached),
        isFetchableIn(cached),
      )?.id;
    expect(placeBy(0)).to.equal('e0');
    expect(placeBy(4)).to.not.equal('e0');
  });
});
