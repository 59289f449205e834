/** Measures the time to ejection and the false ejections of each detector for several faults of an engine. */
import { AveragedHealthDetector } from '@sesamegrade/core/outliers/averaged-health-detector';
import { ConsecutiveFailureDetector } from '@sesamegrade/core/outliers/consecutive-failure-detector';
import type { AttemptObservation } from '@sesamegrade/core/outliers/attempt-observation';
import type { OutlierDetector } from '@sesamegrade/core/outliers/outlier-detector';
import { DEFAULT_EJECTION } from '@sesamegrade/core/outliers/outlier-detector';
import { Random } from '@sesamegrade/core/random/random';
import { attemptId, endpointId } from '@sesamegrade/core/types/ids';
import type { AttemptId, EndpointId } from '@sesamegrade/core/types/ids';
import { instant, milliseconds, seconds } from '@sesamegrade/core/types/units';
import { EventQueue } from '../placement/event-queue';
import { quantile, rounded } from '../report/figures';
import type { FigureRow } from '../report/figures';

const BEHAVIOURS = [
  'healthy',
  'noisy',
  'dead',
  'hanging',
  'slow',
  'half-failing',
  'flapping',
] as const;

type Behaviour = (typeof BEHAVIOURS)[number];

const DURATION = seconds(1200);
const FAULT_START_MS = 300_000;
const FAULT_END_MS = 900_000;
const TICK_PERIOD_MS = 500;
const PROGRESS_PERIOD_MS = 1000;
const ENGINES = Array.from({ length: 6 }, (_, i) => endpointId(`engine-${i}`));
const RUNS_PER_ROW = 20;
const FLAP_PERIOD_MS = 30_000;
/** Failure rates of engines without a fault, as fractions of their requests. */
const BASELINE_FAILURE_RATES: Partial<Record<Behaviour, number>> = {
  noisy: 0.15,
};
const DEFAULT_FAILURE_RATE = 0.01;

/** Result of one simulated attempt; without an observation the attempt never ends. */
interface SimulatedAttempt {
  readonly observation: AttemptObservation | undefined;
  readonly delay: number;
}

interface RunCounts {
  ejectedAfter: number | undefined;
  falseEjections: number;
  readonly failedAttempts: number;
  readonly sentInFault: number;
}

function response(firstToken: number, tokenGap: number): SimulatedAttempt {
  const length = firstToken + tokenGap * 100;
  return {
    observation: {
      kind: 'answered',
      firstToken: milliseconds(firstToken),
      tokenGap: milliseconds(tokenGap),
    },
    delay: length,
  };
}

function simulateAttempt(
  behaviour: Behaviour,
  at: number,
  random: Random,
): SimulatedAttempt {
  const success = response(
    200 + random.exponential(300),
    20 + random.exponential(10),
  );
  const failure: SimulatedAttempt = {
    observation: { kind: 'error' },
    delay: random.exponential(500),
  };
  const isDuringFault = at >= FAULT_START_MS && at < FAULT_END_MS;
  const rate = BASELINE_FAILURE_RATES[behaviour] ?? DEFAULT_FAILURE_RATE;
  if (!isDuringFault || behaviour === 'healthy' || behaviour === 'noisy') {
    return random.fraction() < rate ? failure : success;
  }
  switch (behaviour) {
    case 'dead':
      return { observation: { kind: 'connection-refused' }, delay: 1 };
    case 'hanging':
      return { observation: undefined, delay: Number.POSITIVE_INFINITY };
    case 'slow':
      return response(2000 + random.exponential(3000), 200);
    case 'half-failing':
      return random.fraction() < 0.5 ? failure : success;
    case 'flapping':
      return Math.floor((at - FAULT_START_MS) / FLAP_PERIOD_MS) % 2 === 0
        ? failure
        : success;
  }
}

class DetectorRun {
  readonly #detector: OutlierDetector;
  readonly #behaviour: Behaviour;
  readonly #random: Random;
  readonly #events = new EventQueue();
  /** Requests per millisecond to all engines together that the detector observes. */
  readonly #rate: number;
  #now = 0;
  #attempts = 0;
  #ejectedAfter: number | undefined;
  #falseEjections = 0;
  #failed = 0;
  #sentInFault = 0;

  constructor(
    detector: OutlierDetector,
    behaviour: Behaviour,
    rate: number,
    seed: number,
  ) {
    this.#detector = detector;
    this.#behaviour = behaviour;
    this.#rate = rate;
    this.#random = new Random(seed);
  }

  run(): RunCounts {
    this.#detector.onEndpointsChanged(ENGINES, instant(0));
    this.#scheduleArrival();
    this.#scheduleTick();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > DURATION) {
        break;
      }
      this.#now = event.at;
      event.run();
    }
    return {
      ejectedAfter: this.#ejectedAfter,
      falseEjections: this.#falseEjections,
      failedAttempts: this.#failed,
      sentInFault: this.#sentInFault,
    };
  }

  #scheduleTick(): void {
    this.#events.add(this.#now + TICK_PERIOD_MS, () => {
      this.#countEjections(this.#detector.tick(instant(this.#now)));
      this.#scheduleTick();
    });
  }

  #scheduleArrival(): void {
    const gap = this.#random.exponential(1 / this.#rate);
    this.#events.add(this.#now + gap, () => {
      this.#onArrival();
      this.#scheduleArrival();
    });
  }

  #onArrival(): void {
    const usable = ENGINES.filter(engine => this.#detector.accepts(engine));
    const engine = this.#random.pick(usable);
    this.#attempts += 1;
    const attempt = attemptId(`attempt-${this.#attempts}`);
    const isFaulty = engine === ENGINES[0];
    const behaviour = isFaulty ? this.#behaviour : 'healthy';
    const { observation, delay } = simulateAttempt(
      behaviour,
      this.#now,
      this.#random,
    );
    const isDuringFault =
      this.#now >= FAULT_START_MS && this.#now < FAULT_END_MS;
    if (isFaulty && isDuringFault) {
      this.#sentInFault += 1;
      this.#failed += observation?.kind === 'answered' ? 0 : 1;
    }
    this.#detector.onAttemptStarted(engine, attempt, instant(this.#now));
    if (observation?.kind === 'answered') {
      const { firstToken } = observation;
      this.#progress(
        engine,
        attempt,
        this.#now + firstToken,
        this.#now + delay,
      );
    }
    if (observation) {
      this.#events.add(this.#now + delay, () => {
        const now = instant(this.#now);
        this.#countEjections(
          this.#detector.onAttemptEnded(engine, attempt, observation, now),
        );
      });
    }
  }

  /** Reports the progress of the token stream once a second, from the first token to the end. */
  #progress(
    engine: EndpointId,
    attempt: AttemptId,
    at: number,
    end: number,
  ): void {
    if (at >= end) {
      return;
    }
    this.#events.add(at, () => {
      this.#detector.onAttemptProgress(engine, attempt, instant(this.#now));
      this.#progress(engine, attempt, at + PROGRESS_PERIOD_MS, end);
    });
  }

  #countEjections(
    changes: readonly {
      readonly kind: string;
      readonly endpoint: EndpointId;
    }[],
  ): void {
    for (const { kind, endpoint } of changes) {
      if (kind !== 'ejected') {
        continue;
      }
      const hasFault =
        this.#behaviour !== 'healthy' && this.#behaviour !== 'noisy';
      const isJustified =
        hasFault && endpoint === ENGINES[0] && this.#now >= FAULT_START_MS;
      if (!isJustified) {
        this.#falseEjections += 1;
      } else {
        this.#ejectedAfter ??= this.#now - FAULT_START_MS;
      }
    }
  }
}

interface DetectorVariant {
  readonly name: string;
  readonly create: () => OutlierDetector;
}

const SHORT_HISTORY = { history: 0.7, ejectBelow: -0.3, restoreAbove: 0.4 };
const NO_SILENCE_EJECTION = { ...DEFAULT_EJECTION, silence: seconds(100_000) };

const DETECTORS: readonly DetectorVariant[] = [
  { name: '5 in a row', create: () => new ConsecutiveFailureDetector() },
  { name: 'average 0.8', create: () => new AveragedHealthDetector() },
  {
    name: 'average 0.7',
    create: () => new AveragedHealthDetector(DEFAULT_EJECTION, SHORT_HISTORY),
  },
  {
    name: 'average 0.8, no silence',
    create: () => new AveragedHealthDetector(NO_SILENCE_EJECTION),
  },
];

/** Requests per second of one router among many, and of a router with the traffic of the whole fleet. */
const VIEWS = [
  { view: 'one router', perSecond: 0.7 },
  { view: 'busy router', perSecond: 16 },
];

export function measureOutliers(seed: number): FigureRow[] {
  const rows: FigureRow[] = [];
  for (const { view, perSecond } of VIEWS) {
    for (const behaviour of BEHAVIOURS) {
      for (const { name, create } of DETECTORS) {
        const results = Array.from({ length: RUNS_PER_ROW }, (_, index) =>
          new DetectorRun(
            create(),
            behaviour,
            perSecond / 1000,
            seed * 1000 + index,
          ).run(),
        );
        rows.push({
          view,
          engine: behaviour,
          detector: name,
          ...summary(results),
        });
      }
    }
  }
  return rows;
}

function summary(results: readonly RunCounts[]): FigureRow {
  const times = results
    .map(result => result.ejectedAfter)
    .filter(time => time !== undefined);
  const sum = (pick: (result: RunCounts) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const hours = (results.length * DURATION) / 3_600_000;
  return {
    'ejected in runs': `${times.length}/${results.length}`,
    'eject p50 s':
      times.length > 0 ? rounded(quantile(times, 0.5) / 1000, 1) : '-',
    'eject max s':
      times.length > 0 ? rounded(Math.max(...times) / 1000, 1) : '-',
    'false per hour': rounded(sum(result => result.falseEjections) / hours),
    'sent in fault': rounded(
      sum(result => result.sentInFault) / results.length,
      1,
    ),
    'failed in fault': rounded(
      sum(result => result.failedAttempts) / results.length,
      1,
    ),
  };
}
