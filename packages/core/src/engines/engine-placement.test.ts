import { expect } from 'chai';

import { Random } from '../random/random';
import { endpointId, modelId, promptPartId } from '../types/ids';
import type { EndpointId, PromptPartId } from '../types/ids';
import type { Prompt } from '../prompts/prompt-chain';
import { EnginePlacement } from './engine-placement';
import type { EngineCandidate } from './engine-placement';

const SLOTS = 64;

const engines = (loads: readonly number[]): EngineCandidate[] =>
  loads.map((load, at) => ({ id: endpointId(`e${at}`), load, slots: SLOTS }));

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

type Held = ReadonlyMap<string, readonly EndpointId[]>;

const nobody: Held = new Map();
const holdsIn = (held: Held) => (part: PromptPartId, engine: EndpointId) =>
  held.get(part)?.includes(engine) ?? false;
const fetchableIn = (held: Held) => (part: PromptPartId) => held.has(part);

const place = (subject: string, loads: readonly number[], held = nobody) =>
  new EnginePlacement().choose(
    prompt(subject),
    engines(loads),
    holdsIn(held),
    fetchableIn(held),
  );

describe('EnginePlacement', () => {
  it('lets routers with different views of load agree on the first engine of a new subject', () => {
    const random = new Random(1);
    const view = () =>
      [8, 9, 10, 8, 9, 10].map(load => load + random.integer(0, 3));
    for (let subject = 0; subject < 30; subject += 1) {
      const choices = [1, 2, 3].map(() => place(`s${subject}`, view())?.id);
      expect(new Set(choices).size, `subject ${subject}`).to.equal(1);
    }
  });

  it('sends a returning subject to its holder', () => {
    const held = new Map([
      ['s', [endpointId('e3')]],
      ['system', [endpointId('e3')]],
    ]);
    const choice = place('s', [5, 5, 5, 9, 5, 5], held);
    expect(choice).to.include({ id: 'e3', reason: 'holder', missing: 1000 });
  });

  it('one hot subject spills before its engine passes the bound', () => {
    const held = new Map([
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
        holdsIn(held),
        fetchableIn(held),
      );
      const at = Number(choice?.id.slice(1));
      const before = loads[at] ?? 0;
      const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
      expect(before).to.be.at.most(2 * mean + 3);
      loads[at] = before + 1;
    }
    expect(Math.min(...loads)).to.be.greaterThan(0);
  });

  it('takes the least loaded engine when every one is over its slots', () => {
    const choice = place('s', [70, 90, 66, 80, 75, 71]);
    expect(choice?.id).to.equal('e2');
  });

  it('chooses nothing from nothing', () => {
    expect(place('s', [])).to.equal(undefined);
  });
});
