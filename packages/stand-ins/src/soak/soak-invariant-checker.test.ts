import { expect } from 'chai';

import { event } from '../deployment/scripted-server';
import { SoakInvariantChecker } from './soak-invariant-checker';

const violatedPromises = (checker: SoakInvariantChecker) =>
  checker.violations().map(({ promise }) => promise);

describe('SoakInvariantChecker', () => {
  it('finds a request that ran twice although it must run at most once', () => {
    const checker = new SoakInvariantChecker();
    checker.recordRequest('a', true);
    checker.recordRequest('b', false);
    for (const request of ['a', 'a', 'b', 'b']) {
      checker.recordRun({ request, endpoint: 'e', at: 1 });
    }
    expect(violatedPromises(checker)).to.deep.equal(['at-most-once']);
  });

  it('finds a response that reports a request as not run although it runs, even later', () => {
    const checker = new SoakInvariantChecker();
    checker.recordRequest('a', true);
    checker.recordResponse({ request: 'a', status: 503, body: '' });
    expect(violatedPromises(checker)).to.deep.equal([]);
    checker.recordRun({ request: 'a', endpoint: 'e', at: 9 });
    expect(violatedPromises(checker)).to.deep.equal(['not-run']);
  });

  it('finds a response to another request, but accepts one that broke off', () => {
    const checker = new SoakInvariantChecker();
    const body = SoakInvariantChecker.responseBody('b');
    checker.recordResponse({ request: 'a', status: 200, body });
    checker.recordResponse({ request: 'c', status: 200, body: undefined });
    expect(violatedPromises(checker)).to.deep.equal(['own-answer']);
  });

  it('finds a stream that is mixed, or complete without all its events', () => {
    const events = SoakInvariantChecker.streamEvents('a', 'v1').map(
      (text, index) => event(index + 1, text),
    );
    const whole = events.join('');
    const part = events.slice(0, 2).join('');
    const cut = whole.slice(0, -3);
    const streams: [string, boolean, boolean, boolean][] = [
      [whole, true, true, true],
      [part, false, true, true],
      [part, true, false, true],
      [cut, false, true, true],
      [part, true, true, false],
      [cut, true, false, false],
      [part + part, false, true, false],
    ];
    for (const [body, isComplete, isFramed, isSound] of streams) {
      const checker = new SoakInvariantChecker();
      checker.recordStream({ request: 'a', body, isComplete, isFramed });
      expect(violatedPromises(checker)).to.deep.equal(
        isSound ? [] : ['whole-stream'],
      );
    }
  });

  it('finds requests that reach an endpoint in an evacuated zone, not before or after it', () => {
    const checker = new SoakInvariantChecker();
    checker.recordEvacuation({ endpoint: 'e', from: 100, to: 200 });
    checker.recordArrival('e', 99);
    checker.recordArrival('e', 200);
    checker.recordArrival('other', 150);
    expect(violatedPromises(checker)).to.deep.equal([]);
    checker.recordArrival('e', 199);
    expect(violatedPromises(checker)).to.deep.equal(['evacuated']);
  });

  it('finds a stream with events of two software versions', () => {
    const [first = ''] = SoakInvariantChecker.streamEvents('a', 'v1');
    const [, second = ''] = SoakInvariantChecker.streamEvents('a', 'v2');
    const checker = new SoakInvariantChecker();
    checker.recordStream({
      request: 'a',
      body: event(1, first) + event(2, second),
      isComplete: false,
      isFramed: true,
    });
    expect(violatedPromises(checker)).to.deep.equal(['one-version']);
  });

  it('finds a request that ran at an endpoint more than two seconds after it left', () => {
    const checker = new SoakInvariantChecker();
    checker.recordLeaving('e', 1000);
    checker.recordRun({ request: 'a', endpoint: 'e', at: 2900 });
    expect(violatedPromises(checker)).to.deep.equal([]);
    checker.recordRun({ request: 'b', endpoint: 'e', at: 3100 });
    expect(violatedPromises(checker)).to.deep.equal(['leaving']);
  });

  it('finds an endpoint that got more than it had stated, and excuses restarted routers', () => {
    const play = (disturbances: readonly number[]) => {
      const checker = new SoakInvariantChecker();
      checker.recordLimit({ endpoint: 'e', perSecond: 1, from: 0, to: 9000 });
      for (let count = 0; count < 12; count += 1) {
        checker.recordArrival('e', 1000 + count);
        checker.recordArrival('e', 4000 + count);
      }
      disturbances.forEach(at => {
        checker.recordDisturbance(at);
      });
      return checker.violations().map(({ promise }) => promise);
    };
    expect(play([])).to.deep.equal(['limit']);
    expect(play([900])).to.deep.equal(['limit']);
    expect(play([3500])).to.deep.equal([]);
  });

  it('finds content that goes on to end endpoints once every router must know it', () => {
    const checker = new SoakInvariantChecker();
    const crash = (count: number) => {
      Array.from({ length: count }, () => {
        checker.recordCrash('request');
      });
    };
    crash(3);
    checker.recordFaultsOver();
    crash(3);
    expect(checker.violations()).to.deep.equal([]);
    crash(1);
    expect(checker.violations().map(({ promise }) => promise)).to.deep.equal([
      'crashing-content',
    ]);
  });
});
