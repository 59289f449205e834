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

function createEngine(behaviour: Partial<EngineBehaviour> = {}) {
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
    attempt: string,
    messages: ChatMessage[],
    extra: { priority?: number; max_tokens?: number; chat?: string } = {},
  ) => {
    const { chat, ...fields } = extra;
    const request = { model: 'drafting', messages, ...fields };
    const submission = { id: attemptId(attempt), chat, request };
    return model.submit(submission, instant(now));
  };
  return { model, run, submit, now: () => instant(now) };
}

const userMessage = (content: string): ChatMessage => ({
  role: 'user',
  content,
});

describe('engine model', () => {
  it('generates tokens of each request more slowly as the batch grows', () => {
    const generatedTokens = (batchSize: number) => {
      const { run, submit, model } = createEngine({ batchSlowdown: 0.5 });
      for (let index = 0; index < batchSize; index += 1) {
        submit(`a${index}`, [userMessage(`q${index}`)], { max_tokens: 1000 });
      }
      run(1000);
      return model.sequence(attemptId('a0'))!.generatedTokens;
    };
    expect(generatedTokens(3)).to.be.lessThan(generatedTokens(1) * 0.6);
  });

  it('reuses the cached context of a chat until it is evicted', () => {
    const { model, run, submit } = createEngine({ cacheTokens: 300 });
    const opening = [userMessage('x'.repeat(400))];
    const responseTokens = expectedTokens({
      model: 'drafting',
      messages: opening,
    });
    submit('a', opening, { chat: 'c1' });
    run(1000);
    const history = [
      ...opening,
      { role: 'assistant', content: responseTokens.join('') },
      userMessage('more'),
    ];
    submit('b', history, { chat: 'c1' });
    run(1000);
    const followUp = model.sequence(attemptId('b'))!;
    expect(followUp.cachedTokens).to.equal(followUp.promptTokens - 2);
    submit('other', [userMessage('y'.repeat(800))], { chat: 'c2' });
    run(1000);
    submit('c', history, { chat: 'c1' });
    run(1000);
    expect(model.sequence(attemptId('c'))!.cachedTokens).to.equal(0);
  });

  it('runs waiting requests in order of priority and rejects requests when full', () => {
    const { model, run, submit } = createEngine({
      capacity: 1,
      waitingLimit: 2,
    });
    submit('first', [userMessage('1')]);
    run(STEP_MS);
    submit('late', [userMessage('2')], { priority: 5 });
    submit('urgent', [userMessage('3')], { priority: 1 });
    const rejected = submit('more', [userMessage('4')]);
    expect(rejected).to.deep.equal({ ok: false, failure: { kind: 'full' } });
    run(5000);
    const runOrder = model.runLog.runs().map(entry => String(entry.attempt));
    expect(runOrder).to.deep.equal(['first', 'urgent', 'late']);
  });

  it('does not log a run for a request that was cancelled while waiting', () => {
    const { model, run, submit, now } = createEngine({ capacity: 1 });
    submit('running', [userMessage('1')], { max_tokens: 500 });
    submit('queued', [userMessage('2')]);
    run(100);
    model.cancel(attemptId('queued'), now());
    model.cancel(attemptId('running'), now());
    run(100);
    const ends = model.runLog.runs().map(({ attempt, end }) => [attempt, end]);
    expect(ends).to.deep.equal([['running', 'cancelled']]);
    expect(model.busy).to.equal(false);
  });

  it('crashes on a request with the crash marker and starts a new incarnation', () => {
    const { model, run, submit, now } = createEngine();
    submit('unmarked', [userMessage('ok')], { max_tokens: 500 });
    run(50);
    submit('marked', [userMessage('[[crash]]')]);
    expect(run(1000)).to.equal('crashed');
    model.crash(now());
    expect(model.incarnation).to.equal(2);
    expect(model.sequence(attemptId('unmarked'))).to.equal(undefined);
    const ends = model.runLog.runs().map(entry => entry.end);
    expect(ends).to.deep.equal(['crashed', 'crashed']);
  });

  it('counts requests that arrive after the grace period of a leaving engine', () => {
    const { model, run, submit, now } = createEngine();
    model.startLeaving(now());
    const early = submit('a', [userMessage('1')]);
    expect(early).to.deep.equal({ ok: false, failure: { kind: 'leaving' } });
    expect(model.sentLate).to.equal(0);
    run(6000);
    submit('b', [userMessage('2')]);
    expect(model.sentLate).to.equal(1);
  });

  it('publishes cache events only after the lag', () => {
    const { model, run, submit, now } = createEngine({ cacheEventLoss: 0 });
    submit('a', [userMessage('1')], { chat: 'c1', max_tokens: 1 });
    run(100);
    expect(model.cacheEvents(0, now())).to.deep.equal([]);
    run(2000);
    expect(model.cacheEvents(0, now()).map(entry => entry.prefix)).to.include(
      'c1',
    );
  });

  it('ends a finished stream with the usage event and [DONE] after the tokens', () => {
    const { model, run, submit } = createEngine();
    submit('a', [userMessage('1')], { max_tokens: 3 });
    run(1000);
    expect(readyEvents(model.sequence(attemptId('a'))!)).to.equal(5);
  });
});
