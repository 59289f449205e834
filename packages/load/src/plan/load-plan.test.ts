import { expect } from 'chai';

import { ChatPopulation } from './chat-population';
import { arrivals } from './load-plan';
import type { LoadPlan } from './load-plan';

const PLAN: LoadPlan = {
  seed: 3,
  seconds: 60,
  teams: [
    { team: 'large', key: 'k1', weight: 3 },
    { team: 'small', key: 'k2', weight: 1 },
  ],
  surge: { team: 'small', factor: 8, fromSecond: 20, toSecond: 40 },
  models: ['m'],
  chatsPerSecond: 50,
  chatPopulation: 2,
  returnPauseMs: 1000,
  turnsPerChat: 3,
  services: [],
  ordersPerSecond: 10,
  resends: 0,
  lookupsPerSecond: 0,
};

describe('arrivals and ChatPopulation', () => {
  it('yields the same arrivals for the same seed', () => {
    expect([...arrivals(PLAN)]).to.deep.equal([...arrivals(PLAN)]);
  });

  it('raises the rate of the surging team and leaves that of the other team unchanged', () => {
    const all = [...arrivals(PLAN)];
    const count = (team: string, from: number, to: number) =>
      all.filter(
        ({ at, team: { team: name } }) =>
          name === team && at >= from * 1000 && at < to * 1000,
      ).length;
    const smallBefore = count('small', 0, 20);
    expect(count('small', 20, 40) / smallBefore).to.be.within(6.5, 9.5);
    const largeBefore = count('large', 0, 20);
    expect(count('large', 20, 40) / largeBefore).to.be.within(0.85, 1.15);
    expect(largeBefore / smallBefore).to.be.within(2.4, 3.7);
  });

  it('returns a chat with a growing history until its last turn', () => {
    const population = new ChatPopulation(PLAN);
    const [team] = PLAN.teams;
    const lengths: number[] = [];
    const first = population.take(team!, 0);
    let chat = first;
    while (chat === first) {
      const messages = population.nextMessages(chat);
      lengths.push(messages.length);
      population.onResponse(chat, messages, 'answer', 0);
      chat = population.take(team!, 1e9);
    }
    expect(lengths).to.deep.equal([2, 4, 6]);
  });
});
