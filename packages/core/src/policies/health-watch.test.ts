import { expect } from 'chai';

import { ConsecutiveFailureDetector } from '../outliers/consecutive-failure-detector';
import type { AttemptInfo } from '../requests/steps';
import { SilentRecorder } from '../timeline/event';
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
import { HealthWatch } from './health-watch';

const slow = endpointId('engine-1');
const other = endpointId('engine-2');

function factsOf(
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

/** Runs long attempts at one endpoint while another one answers quickly. */
function runLong(streamed: boolean, tellProgress: boolean): boolean {
  const detector = new ConsecutiveFailureDetector();
  const recorder = new SilentRecorder();
  const watch = new HealthWatch({ detector, recorder });
  detector.endpointsChanged([slow, other], instant(0));
  const long = [1, 2, 3, 4, 5, 6, 7, 8].map(number =>
    factsOf(number, slow, streamed),
  );
  for (const facts of long) {
    watch.onAttemptStarted(facts, instant(0));
    watch.onAttemptProgress(facts, instant(100));
  }
  for (let now = 1000; now <= 8000; now += 1000) {
    const quick = factsOf(now, other);
    watch.onAttemptStarted(quick, instant(now));
    watch.onAttemptProgress(quick, instant(now));
    watch.onAttemptEnded(quick, 'finished', 1, instant(now));
    for (const facts of tellProgress ? long : []) {
      watch.onAttemptProgress(facts, instant(now));
    }
    watch.tick(instant(now));
  }
  return detector.accepts(slow);
}

describe('HealthWatch', () => {
  it('keeps an endpoint whose long streams go on', () => {
    expect(runLong(true, true)).to.equal(true);
  });

  it('ejects an endpoint whose streams fall silent while others answer', () => {
    expect(runLong(true, false)).to.equal(false);
  });

  it('keeps an endpoint that takes long for answers in one piece', () => {
    expect(runLong(false, false)).to.equal(true);
  });
});
