import { expect } from 'chai';

import { ConsecutiveFailureDetector } from '../outliers/consecutive-failure-detector';
import type { AttemptInfo } from '../requests/steps';
import { NoopEventRecorder } from '../timeline/event';
import {
  attemptId,
  chatId,
  endpointId,
  fingerprint,
  modelId,
  requestId,
  teamId,
} from '../types/ids';
import { instant } from '../types/units';
import { HealthObserver } from './health-observer';

const slow = endpointId('engine-1');
const other = endpointId('engine-2');

function attemptOf(
  number: number,
  endpoint = slow,
  streamed = true,
): AttemptInfo {
  return {
    request: {
      id: requestId(`request-${number}`),
      team: teamId('team'),
      target: {
        kind: 'chat',
        model: modelId('model'),
        chat: chatId(`chat-${number}`),
      },
      fingerprint: fingerprint(`print-${number}`),
      streamed,
      priority: 0,
      affinityEndpoint: undefined,
      arrived: instant(0),
      deadline: instant(100_000),
    },
    attempt: attemptId(`attempt-${number}`),
    endpoint,
  };
}

/**
 * Runs long attempts at one endpoint while another one responds quickly;
 * returns whether the slow one is still accepted.
 */
function acceptsAfterLongAttempts(
  streamed: boolean,
  hasProgress: boolean,
): boolean {
  const detector = new ConsecutiveFailureDetector();
  const recorder = new NoopEventRecorder();
  const observer = new HealthObserver({ detector, recorder });
  detector.onEndpointsChanged([slow, other], instant(0));
  const longAttempts = [1, 2, 3, 4, 5, 6, 7, 8].map(number =>
    attemptOf(number, slow, streamed),
  );
  for (const attempt of longAttempts) {
    observer.onAttemptStarted(attempt, instant(0));
    observer.onAttemptProgress(attempt, instant(100));
  }
  for (let now = 1000; now <= 8000; now += 1000) {
    const quickAttempt = attemptOf(now, other);
    observer.onAttemptStarted(quickAttempt, instant(now));
    observer.onAttemptProgress(quickAttempt, instant(now));
    observer.onAttemptEnded(quickAttempt, 'finished', 1, instant(now));
    for (const attempt of hasProgress ? longAttempts : []) {
      observer.onAttemptProgress(attempt, instant(now));
    }
    observer.tick(instant(now));
  }
  return detector.accepts(slow);
}

describe('HealthObserver', () => {
  it('does not eject an endpoint whose long streams make progress', () => {
    expect(acceptsAfterLongAttempts(true, true)).to.equal(true);
  });

  it('ejects an endpoint whose streams stall while another endpoint responds', () => {
    expect(acceptsAfterLongAttempts(true, false)).to.equal(false);
  });

  it('does not eject an endpoint for long responses that are not streamed', () => {
    expect(acceptsAfterLongAttempts(false, false)).to.equal(true);
  });
});
