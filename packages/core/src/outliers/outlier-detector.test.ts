import { expect } from 'chai';
import fc from 'fast-check';

import { attemptId, endpointId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { AveragedHealthDetector } from './averaged-health-detector';
import { ConsecutiveFailureDetector } from './consecutive-failure-detector';
import type { AttemptObservation } from './attempt-observation';
import { DEFAULT_EJECTION } from './outlier-detector';
import type { OutlierDetector } from './outlier-detector';

const engines = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].map(endpointId);
const first = engines[0]!;
const success: AttemptObservation = {
  kind: 'answered',
  firstToken: milliseconds(200),
};
const start = instant(0);
const detectors: [string, () => OutlierDetector][] = [
  ['ConsecutiveFailureDetector', () => new ConsecutiveFailureDetector()],
  ['AveragedHealthDetector', () => new AveragedHealthDetector()],
];

function attempt(
  detector: OutlierDetector,
  observation: AttemptObservation,
  now = start,
  endpoint = first,
) {
  detector.onAttemptStarted(endpoint, attemptId('a'), now);
  return detector.onAttemptEnded(endpoint, attemptId('a'), observation, now);
}

for (const [name, create] of detectors) {
  describe(name, () => {
    function createDetector() {
      const detector = create();
      detector.onEndpointsChanged(engines, start);
      return detector;
    }

    it('ejects a failing endpoint, puts it on probation, and doubles the next ejection time', () => {
      const detector = createDetector();
      for (let count = 0; count < 5; count += 1) {
        attempt(detector, { kind: 'error' });
      }
      expect(detector.ejectionState(first)).to.deep.equal({
        kind: 'ejected',
        until: 10_000,
      });
      detector.tick(instant(10_000));
      expect(detector.accepts(first)).to.equal(true);
      detector.onAttemptStarted(first, attemptId('b'), instant(10_000));
      expect(detector.accepts(first)).to.equal(false);
      detector.onAttemptEnded(
        first,
        attemptId('b'),
        undefined,
        instant(10_000),
      );
      for (let count = 0; count < 5; count += 1) {
        attempt(detector, { kind: 'error' }, instant(10_000));
      }
      expect(detector.ejectionState(first)).to.include({ until: 30_000 });
      detector.tick(instant(30_000));
      for (let count = 0; count < 5; count += 1) {
        attempt(detector, success, instant(30_000));
      }
      expect(detector.ejectionState(first).kind).to.equal('in-use');
    });

    it('counts an overdue attempt only if other endpoints responded in the meantime', () => {
      const detector = createDetector();
      for (let count = 0; count < 6; count += 1) {
        detector.onAttemptStarted(first, attemptId(`s${count}`), start);
      }
      detector.tick(instant(20_000));
      expect(detector.ejectionState(first).kind).to.equal('in-use');
      attempt(detector, success, instant(20_000), engines[1]);
      detector.tick(instant(20_001));
      expect(detector.ejectionState(first).kind).to.equal('ejected');
    });

    it('never has more endpoints ejected or on probation than the limit, whatever is observed', () => {
      const delay = fc
        .oneof(fc.double(), fc.constantFrom(-1, NaN, Infinity, 1e308))
        .map(milliseconds);
      const anyObservation: fc.Arbitrary<AttemptObservation> = fc.oneof(
        fc.record({
          kind: fc.constant('answered' as const),
          firstToken: delay,
          tokenGap: delay,
        }),
        fc.constantFrom<AttemptObservation>(
          { kind: 'error' },
          { kind: 'connection-refused' },
          { kind: 'overdue' },
        ),
      );
      const step = fc.record({
        endpoint: fc.constantFrom(...engines, endpointId('unknown')),
        observation: anyObservation,
        times: fc.integer({ min: 1, max: 8 }),
        advance: fc.integer({ min: -1000, max: 4000 }),
      });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 150 }), steps => {
          const detector = createDetector();
          let now = start;
          for (const { endpoint, observation, times, advance } of steps) {
            now = instant(now + advance);
            for (let count = 0; count < times; count += 1) {
              attempt(detector, observation, now, endpoint);
            }
            detector.tick(now);
            const ejected = engines.filter(
              id => detector.ejectionState(id).kind !== 'in-use',
            );
            const maxEjected = Math.floor(
              DEFAULT_EJECTION.maxEjectedFraction * 6,
            );
            expect(ejected.length).to.be.at.most(maxEjected);
          }
        }),
        { seed: 4, numRuns: 150 },
      );
    });
  });
}
