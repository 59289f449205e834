import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { lostRequests } from './testing/lost-requests';
import { StoppingRouter } from './testing/stopping-router';
import type {
  HoldUp,
  PlannedRequest,
  RequestTrace,
  StopPlan,
} from './testing/stopping-router';

const SEEDS = 150;
const REQUESTS = 40;
const ROUTE_TIMEOUTS_MS = [6000, 15_000];
const WORK_MS = [20, 300, 1000, 3000, 5000, 7000, 12_000];
/** Number of lost requests that a failure shows. */
const SHOWN = 5;
/** Longest hold-up within a stop; it must end before the kill. */
const MAX_LATER_HOLD_UP_MS = 150;

function randomRequest(random: Random, grace: number): PlannedRequest {
  const work = random.pick(WORK_MS);
  return {
    kind: random.pick(['order', 'lookup', 'stream', 'resumable'] as const),
    sentAt: random.integer(-3500, grace),
    deadline: work + random.pick([200, 1000, 4000, 12_000]),
    routeTimeout: random.pick(ROUTE_TIMEOUTS_MS),
    admission: random.pick([0, 0, 0, 100, 800, 3000]),
    work,
    firstEvent: Math.min(work, random.pick([0, 50, 400, 2000])),
  };
}

/** Hold-ups within the stop, none of which lasts until the kill. */
function laterHoldUps(random: Random, grace: number): HoldUp[] {
  return Array.from({ length: random.integer(0, 6) }, () => {
    const from = random.integer(0, grace - 2 * MAX_LATER_HOLD_UP_MS);
    return { from, to: from + random.integer(5, MAX_LATER_HOLD_UP_MS) };
  });
}

/** `before` and `after` bound the hold-up around the first signal, which is sent at 0. */
function randomPlan(
  random: Random,
  grace: number,
  { before, after }: { before: number; after: number },
): StopPlan {
  const first = {
    from: -random.integer(0, before),
    to: random.integer(0, after),
  };
  return {
    grace,
    signals: [
      0,
      ...Array.from({ length: random.integer(0, 2) }, () =>
        random.integer(1, grace),
      ).sort((one, other) => one - other),
    ],
    holdUps: [first, ...laterHoldUps(random, grace)],
    requests: Array.from({ length: REQUESTS }, () =>
      randomRequest(random, grace),
    ),
    handlesSignalsFirst: random.fraction() < 0.5,
  };
}

/** Plays stops of all seeds, and expects that none loses a request and that the stops matter. */
async function expectNoLoss(
  planOf: (random: Random) => StopPlan,
): Promise<void> {
  const lost: string[] = [];
  let late = 0;
  let brokenOff = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const plan = planOf(new Random(seed));
    const traces = await new StoppingRouter(plan).play();
    lost.push(
      ...lostRequests(plan, traces).map(line => `seed ${seed}: ${line}`),
    );
    late += traces.filter(({ passedOnAt = 0 }) => passedOnAt > 0).length;
    brokenOff += traces.filter(({ ending }) => ending === 'broke-off').length;
  }
  expect(lost.slice(0, SHOWN), `${lost.length} lost`).to.deep.equal([]);
  expect(late).to.be.above(SEEDS);
  expect(brokenOff).to.be.above(SEEDS / 2);
}

describe('the planned stop of a router, played on a clock', () => {
  // Guards against requests that are taken in a stop and given up, at a process that runs well.
  it('loses nothing at a process that runs all the time', async () => {
    await expectNoLoss(random =>
      randomPlan(random, random.integer(48, 100) * 100, {
        before: 0,
        after: 0,
      }),
    );
  });

  // Guards against a stop that ends its streams too early, as it counts from before the signal.
  it('loses nothing at a process that was held up before the signal came', async () => {
    await expectNoLoss(random =>
      randomPlan(random, random.integer(48, 100) * 100, {
        before: 2000,
        after: 20,
      }),
    );
  });

  // Guards against a kill that ends what the process would have answered.
  it('loses nothing at a process that handles the signal late', async () => {
    await expectNoLoss(random =>
      randomPlan(random, random.integer(48, 100) * 100, {
        before: 2000,
        after: 2000,
      }),
    );
  });

  // Guards against margins before the kill that are longer than the part in which streams may be given up.
  it('loses nothing in a short grace period', async () => {
    await expectNoLoss(random =>
      randomPlan(random, random.integer(20, 48) * 100, {
        before: 0,
        after: 0,
      }),
    );
  });

  // Guards against the same at a process that was held up.
  it('loses nothing in a short grace period at a process that was held up', async () => {
    await expectNoLoss(random =>
      randomPlan(random, random.integer(20, 48) * 100, {
        before: 1200,
        after: 600,
      }),
    );
  });
});

describe('lostRequests', () => {
  const request: PlannedRequest = {
    ...{ kind: 'stream', sentAt: 1000, deadline: 9000, routeTimeout: 15_000 },
    ...{ admission: 0, work: 8000, firstEvent: 50 },
  };
  const trace: RequestTrace = {
    ...{ request, readAt: 1005, passedOnAt: 1010, endedAt: 6700 },
    ending: 'broke-off',
  };
  const plan: StopPlan = {
    ...{ grace: 8000, signals: [0, 500], holdUps: [], requests: [] },
    handlesSignalsFirst: false,
  };
  const count = (
    changes: Partial<RequestTrace>,
    planned: Partial<PlannedRequest> = {},
  ) =>
    lostRequests(plan, [
      { ...trace, request: { ...request, ...planned }, ...changes },
    ]).length;

  // Guards against excuses that let a lost request pass.
  it('excuses a request that was passed on by its limits, and by work in the last sixth if it was sent early', () => {
    expect(count({})).to.equal(0);
    expect(count({ ending: 'cut' })).to.equal(0);
    expect(count({ endedAt: 6660 })).to.equal(1);
    expect(count({ endedAt: 6660, ending: 'answered' })).to.equal(0);
    expect(count({}, { work: 5600 })).to.equal(1);
    expect(count({}, { sentAt: 3001 })).to.equal(1);
    expect(count({ endedAt: 6600 }, { deadline: 5600 })).to.equal(0);
    expect(count({ endedAt: 6600 }, { deadline: 5601 })).to.equal(1);
    expect(count({ endedAt: 6600 }, { routeTimeout: 5600 })).to.equal(0);
  });

  // Guards against a request that waits in the router until its connection ends.
  it('finds a request that was not passed on if its connection ends late', () => {
    const ending = 'cut';
    const passedOnAt = undefined;
    expect(count({ ending, passedOnAt, endedAt: 1200 })).to.equal(0);
    expect(count({ ending, passedOnAt, endedAt: 1201 })).to.equal(1);
    expect(
      count({ ending, passedOnAt, readAt: undefined, endedAt: 1500 }),
    ).to.equal(0);
  });
});
