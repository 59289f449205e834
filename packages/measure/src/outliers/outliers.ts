/** Time to eject and false ejections of each detector on engines that behave differently. */
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

const behaviours = [
  'healthy',
  'noisy',
  'dead',
  'hanging',
  'slow',
  'half-failing',
  'flapping',
] as const;

type Behaviour = (typeof behaviours)[number];

const duration = seconds(1200);
const faultAt = 300_000;
const faultEnds = 900_000;
const tickPeriod = 500;
const progressPeriod = 1000;
const engines = Array.from({ length: 6 }, (_, i) => endpointId(`engine-${i}`));
const runsPerRow = 20;
const flapPeriod = 30_000;
/** Failures of an engine without a fault, as parts of its requests. */
const ordinaryFailures: Partial<Record<Behaviour, number>> = { noisy: 0.15 };
const ordinaryFailure = 0.01;

/** How one attempt goes; no evidence means that nothing ever comes back. */
interface Course {
  readonly evidence: AttemptObservation | undefined;
  readonly delay: number;
}

interface RunCount {
  ejectedAfter: number | undefined;
  falseEjections: number;
  readonly failedAttempts: number;
  readonly sentInFault: number;
}

function answer(firstToken: number, tokenGap: number): Course {
  const length = firstToken + tokenGap * 100;
  return {
    evidence: {
      kind: 'answered',
      firstToken: milliseconds(firstToken),
      tokenGap: milliseconds(tokenGap),
    },
    delay: length,
  };
}

function course(behaviour: Behaviour, at: number, random: Random): Course {
  const usual = answer(
    200 + random.exponential(300),
    20 + random.exponential(10),
  );
  const failure: Course = {
    evidence: { kind: 'error' },
    delay: random.exponential(500),
  };
  const inFault = at >= faultAt && at < faultEnds;
  const rate = ordinaryFailures[behaviour] ?? ordinaryFailure;
  if (!inFault || behaviour === 'healthy' || behaviour === 'noisy') {
    return random.fraction() < rate ? failure : usual;
  }
  switch (behaviour) {
    case 'dead':
      return { evidence: { kind: 'connection-refused' }, delay: 1 };
    case 'hanging':
      return { evidence: undefined, delay: Number.POSITIVE_INFINITY };
    case 'slow':
      return answer(2000 + random.exponential(3000), 200);
    case 'half-failing':
      return random.fraction() < 0.5 ? failure : usual;
    case 'flapping':
      return Math.floor((at - faultAt) / flapPeriod) % 2 === 0
        ? failure
        : usual;
  }
}

class DetectorRun {
  readonly #detector: OutlierDetector;
  readonly #behaviour: Behaviour;
  readonly #random: Random;
  readonly #events = new EventQueue();
  /** Requests per ms to all engines together, seen by the detector. */
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

  run(): RunCount {
    this.#detector.onEndpointsChanged(engines, instant(0));
    this.#scheduleArrival();
    this.#scheduleTick();
    for (;;) {
      const event = this.#events.take();
      if (!event || event.at > duration) {
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
    this.#events.add(this.#now + tickPeriod, () => {
      this.#take(this.#detector.tick(instant(this.#now)));
      this.#scheduleTick();
    });
  }

  #scheduleArrival(): void {
    const gap = this.#random.exponential(1 / this.#rate);
    this.#events.add(this.#now + gap, () => {
      this.#arrive();
      this.#scheduleArrival();
    });
  }

  #arrive(): void {
    const usable = engines.filter(engine => this.#detector.accepts(engine));
    const engine = this.#random.pick(usable);
    this.#attempts += 1;
    const attempt = attemptId(`attempt-${this.#attempts}`);
    const faulty = engine === engines[0];
    const behaviour = faulty ? this.#behaviour : 'healthy';
    const { evidence, delay } = course(behaviour, this.#now, this.#random);
    const inFault = this.#now >= faultAt && this.#now < faultEnds;
    if (faulty && inFault) {
      this.#sentInFault += 1;
      this.#failed += evidence?.kind === 'answered' ? 0 : 1;
    }
    this.#detector.onAttemptStarted(engine, attempt, instant(this.#now));
    if (evidence?.kind === 'answered') {
      const { firstToken } = evidence;
      this.#progress(
        engine,
        attempt,
        this.#now + firstToken,
        this.#now + delay,
      );
    }
    if (evidence) {
      this.#events.add(this.#now + delay, () => {
        const now = instant(this.#now);
        this.#take(
          this.#detector.onAttemptEnded(engine, attempt, evidence, now),
        );
      });
    }
  }

  /** Tokens that arrive from the first one to the end, once a second. */
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
      this.#progress(engine, attempt, at + progressPeriod, end);
    });
  }

  #take(
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
      const justified =
        hasFault && endpoint === engines[0] && this.#now >= faultAt;
      if (!justified) {
        this.#falseEjections += 1;
      } else {
        this.#ejectedAfter ??= this.#now - faultAt;
      }
    }
  }
}

interface Candidate {
  readonly name: string;
  readonly create: () => OutlierDetector;
}

const quick = { history: 0.7, ejectBelow: -0.3, restoreAbove: 0.4 };
const lateSilence = { ...DEFAULT_EJECTION, silence: seconds(100_000) };

const candidates: readonly Candidate[] = [
  { name: '5 in a row', create: () => new ConsecutiveFailureDetector() },
  { name: 'average 0.8', create: () => new AveragedHealthDetector() },
  {
    name: 'average 0.7',
    create: () => new AveragedHealthDetector(DEFAULT_EJECTION, quick),
  },
  {
    name: 'average 0.8, no silence',
    create: () => new AveragedHealthDetector(lateSilence),
  },
];

/** Requests per second that one router sees, and that the whole fleet sees. */
const rates = [
  { view: 'one router', perSecond: 0.7 },
  { view: 'busy router', perSecond: 16 },
];

export function measureOutliers(seed: number): FigureRow[] {
  const rows: FigureRow[] = [];
  for (const { view, perSecond } of rates) {
    for (const behaviour of behaviours) {
      for (const { name, create } of candidates) {
        const results = Array.from({ length: runsPerRow }, (_, index) =>
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

function summary(results: readonly RunCount[]): FigureRow {
  const times = results
    .map(result => result.ejectedAfter)
    .filter(time => time !== undefined);
  const sum = (pick: (result: RunCount) => number) =>
    results.reduce((total, result) => total + pick(result), 0);
  const hours = (results.length * duration) / 3_600_000;
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
