import { expect } from 'chai';

import { attemptId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import type { ChatMessage } from './chat-completion-request';
import { EngineModel } from './engine-model';
import { DEFAULT_ENGINE_BEHAVIOUR } from './engine-options';
import type { EngineBehaviour } from './engine-options';
import { expectedTokens } from './expected-response';
import { readyEvents } from './sequence';

const STEP_MS = 10;

function engine(behaviour: Partial<EngineBehaviour> = {}) {
  const model = new EngineModel(
    { ...DEFAULT_ENGINE_BEHAVIOUR, ...behaviour },
    instant(0),
  );
  let now = 0;
  const run = (ms: number) => {
    const end = now + ms;
    let outcome = 'progressed';
    while (now < end && outcome === 'progressed') {
      now += STEP_MS;
      outcome = model.step(instant(now), now);
    }
    return outcome;
  };
  const submit = (
    name: string,
    messages: ChatMessage[],
    extra: { priority?: number; max_tokens?: number; chat?: string } = {},
  ) => {
    const { chat, ...fields } = extra;
    const request = { model: 'drafting', messages, ...fields };
    const submission = { id: attemptId(name), chat, request };
    return model.submit(submission, instant(now));
  };
  return { model, run, submit, now: () => instant(now) };
}

const ask = (content: string): ChatMessage => ({ role: 'user', content });

describe('engine model', () => {
  it('lengthens a step as the batch grows', () => {
    const generated = (size: number) => {
      const { run, submit, model } = engine({ batchSlowdown: 0.5 });
      for (let index = 0; index < size; index += 1) {
        submit(`a${index}`, [ask(`q${index}`)], { max_tokens: 1000 });
      }
      run(1000);
      return model.sequence(attemptId('a0'))!.generatedTokens;
    };
    expect(generated(3)).to.be.lessThan(generated(1) * 0.6);
  });

  it('finds the context of a returning chat until it is evicted', () => {
    const { model, run, submit } = engine({ cacheTokens: 300 });
    const opening = [ask('x'.repeat(400))];
    const answer = expectedTokens({ model: 'drafting', messages: opening });
    submit('a', opening, { chat: 'c1' });
    run(1000);
    const history = [
      ...opening,
      { role: 'assistant', content: answer.join('') },
      ask('more'),
    ];
    submit('b', history, { chat: 'c1' });
    run(1000);
    const again = model.sequence(attemptId('b'))!;
    expect(again.cachedTokens).to.equal(again.promptTokens - 2);
    submit('other', [ask('y'.repeat(800))], { chat: 'c2' });
    run(1000);
    submit('c', history, { chat: 'c1' });
    run(1000);
    expect(model.sequence(attemptId('c'))!.cachedTokens).to.equal(0);
  });

  it('runs waiting requests by priority and refuses when full', () => {
    const { model, run, submit } = engine({ capacity: 1, waitingLimit: 2 });
    submit('first', [ask('1')]);
    run(STEP_MS);
    submit('late', [ask('2')], { priority: 5 });
    submit('urgent', [ask('3')], { priority: 1 });
    const refused = submit('more', [ask('4')]);
    expect(refused).to.deep.equal({ ok: false, failure: { kind: 'full' } });
    run(5000);
    const order = model.runLog.runs().map(entry => String(entry.attempt));
    expect(order).to.deep.equal(['first', 'urgent', 'late']);
  });

  it('does not record a request that was cancelled while it waited', () => {
    const { model, run, submit, now } = engine({ capacity: 1 });
    submit('running', [ask('1')], { max_tokens: 500 });
    submit('queued', [ask('2')]);
    run(100);
    model.cancel(attemptId('queued'), now());
    model.cancel(attemptId('running'), now());
    run(100);
    const ends = model.runLog.runs().map(({ attempt, end }) => [attempt, end]);
    expect(ends).to.deep.equal([['running', 'cancelled']]);
    expect(model.busy).to.equal(false);
  });

  it('crashes on a marked request and returns with a new incarnation', () => {
    const { model, run, submit, now } = engine();
    submit('innocent', [ask('ok')], { max_tokens: 500 });
    run(50);
    submit('poison', [ask('[[crash]]')]);
    expect(run(1000)).to.equal('crashed');
    model.crash(now());
    expect(model.incarnation).to.equal(2);
    expect(model.sequence(attemptId('innocent'))).to.equal(undefined);
    const ends = model.runLog.runs().map(entry => entry.end);
    expect(ends).to.deep.equal(['crashed', 'crashed']);
  });

  it('counts what is sent long after it began to leave', () => {
    const { model, run, submit, now } = engine();
    model.startLeaving(now());
    const early = submit('a', [ask('1')]);
    expect(early).to.deep.equal({ ok: false, failure: { kind: 'leaving' } });
    expect(model.sentLate).to.equal(0);
    run(6000);
    submit('b', [ask('2')]);
    expect(model.sentLate).to.equal(1);
  });

  it('publishes cache events late', () => {
    const { model, run, submit, now } = engine({ cacheEventLoss: 0 });
    submit('a', [ask('1')], { chat: 'c1', max_tokens: 1 });
    run(100);
    expect(model.cacheEvents(0, now())).to.deep.equal([]);
    run(2000);
    expect(model.cacheEvents(0, now()).map(entry => entry.prefix)).to.include(
      'c1',
    );
  });

  it('ends a finished stream with two events after the tokens', () => {
    const { model, run, submit } = engine();
    submit('a', [ask('1')], { max_tokens: 3 });
    run(1000);
    expect(readyEvents(model.sequence(attemptId('a'))!)).to.equal(5);
  });
});
