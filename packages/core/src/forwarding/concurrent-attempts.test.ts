import { expect } from 'chai';
import fc from 'fast-check';

import type { AttemptResult } from './attempt-result';
import { ConcurrentAttempts } from './concurrent-attempts';
import type { AttemptDecision, AttemptEnding } from './concurrent-attempts';
import type { NextStep } from './next-step';

interface Run {
  readonly name: string;
}

const SEED = 56;
const MODEL_RUNS = 3000;

const AGAIN: NextStep = { kind: 'again' };
const PASS_ON: NextStep = { kind: 'pass-on' };
const DONE: NextStep = { kind: 'done' };
const CUT: NextStep = { kind: 'give-up', reason: 'cut' };

const DECLINED: AttemptResult = { kind: 'declined', decline: 'full' };
const RESET: AttemptResult = { kind: 'broken', breakage: 'reset' };
const OK: AttemptResult = { kind: 'answered', status: 200 };
const FAILURE: AttemptResult = { kind: 'answered', status: 500 };
const DELIVERED: AttemptResult = { kind: 'delivered', status: 200 };

describe('ConcurrentAttempts', () => {
  let attempts: ConcurrentAttempts<Run>;
  let first: Run;
  let second: Run;

  beforeEach(() => {
    attempts = new ConcurrentAttempts();
    first = { name: 'first' };
    second = { name: 'second' };
    attempts.startPlacing();
    attempts.start(first);
  });

  function startSecond(): void {
    attempts.onSilence(first);
    attempts.startPlacing();
    attempts.start(second);
  }

  it('ends like its only attempt', () => {
    const ending = { step: CUT, result: RESET };
    const decision = attempts.onEnd(first, ending);
    expect(decision).to.deep.equal({ kind: 'finish', ending });
    expect(attempts.isSettled).to.equal(true);
  });

  it('wants another attempt only while all that run are silent', () => {
    expect(attempts.wantsAnother).to.equal(false);
    startSecond();
    expect(attempts.wantsAnother).to.equal(false);
    attempts.onSilence(second);
    expect(attempts.wantsAnother).to.equal(true);
    attempts.onActivity(first);
    expect(attempts.wantsAnother).to.equal(false);
  });

  // Guards against a stream that is cut although its first endpoint still may end it.
  it('waits for a silent attempt if the other one fails', () => {
    startSecond();
    const decision = attempts.onEnd(second, { step: CUT, result: DECLINED });
    expect(decision.kind).to.equal('wait');
    expect(attempts.running).to.deep.equal([first]);
  });

  it('tries a third endpoint beside a silent attempt if the second has no room', () => {
    startSecond();
    const ending = { step: AGAIN, result: DECLINED };
    expect(attempts.onEnd(second, ending).kind).to.equal('place');
    expect(attempts.running).to.deep.equal([first]);
  });

  it('tries no third endpoint if the first has gone on', () => {
    startSecond();
    attempts.onActivity(first);
    const ending = { step: AGAIN, result: DECLINED };
    expect(attempts.onEnd(second, ending).kind).to.equal('wait');
  });

  it('cancels whichever attempt does not go on first', () => {
    startSecond();
    expect(attempts.takeOver(second)).to.deep.equal([first]);
    expect(attempts.takeOver(first)).to.deep.equal([second]);
  });

  it('ends like the attempt that took over, also if the cancelled one ends later', () => {
    startSecond();
    attempts.takeOver(second);
    const ending = { step: CUT, result: RESET };
    expect(attempts.onEnd(second, ending).kind).to.equal('wait');
    const cancelled = { step: DONE, result: { kind: 'silent' } } as const;
    const decision = attempts.onEnd(first, cancelled);
    expect(decision).to.deep.equal({ kind: 'finish', ending });
  });

  it('passes a response on at once, and a failure only if no other attempt answers', () => {
    startSecond();
    const failure = { step: PASS_ON, result: FAILURE };
    expect(attempts.onEnd(second, failure).kind).to.equal('wait');
    const last = attempts.onEnd(first, { step: CUT, result: RESET });
    expect(last).to.deep.equal({ kind: 'finish', ending: failure });
  });

  it('prefers a response to an earlier failure', () => {
    startSecond();
    attempts.onEnd(second, { step: PASS_ON, result: FAILURE });
    const ending = { step: PASS_ON, result: OK };
    const decision = attempts.onEnd(first, ending);
    expect(decision).to.deep.equal({ kind: 'finish', ending });
  });

  it('passes a failure on if no endpoint is found for another attempt', () => {
    startSecond();
    const failure = { step: PASS_ON, result: FAILURE };
    attempts.onEnd(second, failure);
    attempts.onEnd(first, { step: AGAIN, result: RESET });
    attempts.startPlacing();
    const decision = attempts.onNotPlaced();
    expect(decision).to.deep.equal({ kind: 'finish', ending: failure });
  });

  it('is unplaced if nothing runs and no endpoint is found', () => {
    attempts.onEnd(first, { step: AGAIN, result: RESET });
    attempts.startPlacing();
    expect(attempts.onNotPlaced().kind).to.equal('unplaced');
  });

  it('is settled once a late placement is told of as well', () => {
    attempts.onSilence(first);
    attempts.startPlacing();
    attempts.onEnd(first, { step: DONE, result: DELIVERED });
    expect([attempts.isFinished, attempts.isSettled]).to.deep.equal([
      true,
      false,
    ]);
    expect(attempts.wantsAnother).to.equal(false);
    expect(attempts.onNotPlaced().kind).to.equal('wait');
    expect(attempts.isSettled).to.equal(true);
  });

  // Guards against orders of events under which a request ends twice, too soon or never.
  it('ends once, and badly only if no attempt is left, in any order of events', () => {
    const ends: readonly AttemptEnding[] = [
      { step: AGAIN, result: DECLINED },
      { step: CUT, result: RESET },
      { step: PASS_ON, result: FAILURE },
      { step: PASS_ON, result: OK },
      { step: DONE, result: DELIVERED },
      { step: { kind: 'give-up', reason: 'cut' }, result: { kind: 'expired' } },
    ];
    const action = fc.record({
      kind: fc.constantFrom('silence', 'activity', 'part', 'place', 'end'),
      run: fc.nat(2),
      ending: fc.constantFrom(...ends),
      isPlaced: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 30 }), actions => {
        const model = new AttemptModel();
        actions.forEach(({ kind, run, ending, isPlaced }) => {
          switch (kind) {
            case 'silence':
              model.fallSilent(run, isPlaced);
              return;
            case 'activity':
              model.showLife(run);
              return;
            case 'part':
              model.passOn(run);
              return;
            case 'place':
              model.endPlacing(isPlaced);
              return;
            case 'end':
              model.end(run, ending);
          }
        });
        model.endAll();
      }),
      { seed: SEED, numRuns: MODEL_RUNS },
    );
  });
});

/** Drives the attempts of one request as their owner does, and checks what each event leads to. */
class AttemptModel {
  readonly #attempts = new ConcurrentAttempts<Run>();
  /** Attempts that were cancelled and whose end is not reported yet. */
  readonly #cancelled = new Set<Run>();
  #startCount = 0;
  #finishCount = 0;

  constructor() {
    this.#attempts.startPlacing();
    this.endPlacing(true);
  }

  fallSilent(index: number, isPlacing: boolean): void {
    const run = this.#runAt(index);
    if (run) {
      this.#attempts.onSilence(run);
      if (
        isPlacing &&
        this.#attempts.wantsAnother &&
        !this.#attempts.isPlacing
      ) {
        this.#attempts.startPlacing();
      }
    }
  }

  showLife(index: number): void {
    const run = this.#runAt(index);
    if (run) {
      this.#attempts.onActivity(run);
    }
  }

  passOn(index: number): void {
    const run = this.#runAt(index);
    if (!run) {
      return;
    }
    this.#attempts.onActivity(run);
    this.#cancel(this.#attempts.takeOver(run));
    expect(this.#alive).to.deep.equal([run]);
  }

  endPlacing(isPlaced: boolean): void {
    if (!this.#attempts.isPlacing) {
      return;
    }
    if (isPlaced && this.#attempts.wantsAnother) {
      this.#startCount += 1;
      this.#attempts.start({ name: String(this.#startCount) });
    } else {
      this.#apply(this.#attempts.onNotPlaced(), undefined);
    }
  }

  end(index: number, ending: AttemptEnding): void {
    const run = this.#runAt(index);
    if (run) {
      this.#apply(this.#attempts.onEnd(run, ending), ending);
    }
  }

  /** Reports all that is still to come; the request must be over then. */
  endAll(): void {
    const lastEnding: AttemptEnding = { step: CUT, result: RESET };
    while (!this.#attempts.isSettled) {
      const [cancelled] = this.#cancelled;
      if (cancelled) {
        this.#cancelled.delete(cancelled);
        const ending = { step: DONE, result: { kind: 'silent' } } as const;
        this.#apply(this.#attempts.onEnd(cancelled, ending), ending);
      } else if (this.#attempts.isPlacing) {
        this.endPlacing(false);
      } else {
        expect(this.#alive, 'a request without an end').not.to.deep.equal([]);
        this.end(0, lastEnding);
      }
    }
    expect(this.#finishCount).to.equal(1);
  }

  get #alive(): readonly Run[] {
    return this.#attempts.running.filter(run => !this.#cancelled.has(run));
  }

  #runAt(index: number): Run | undefined {
    const alive = this.#alive;
    return alive[index % Math.max(1, alive.length)];
  }

  #cancel(runs: readonly Run[]): void {
    runs.forEach(run => this.#cancelled.add(run));
  }

  #apply(decision: AttemptDecision, ended: AttemptEnding | undefined): void {
    if (decision.kind === 'place') {
      expect(this.#attempts.wantsAnother).to.equal(true);
      this.#attempts.startPlacing();
    } else if (decision.kind === 'finish') {
      this.#finishCount += 1;
      const isFailure =
        decision.ending.step.kind === 'give-up' &&
        ended?.result.kind !== 'expired';
      if (isFailure) {
        expect(this.#attempts.running).to.deep.equal([]);
      }
      this.#cancel(this.#attempts.running);
    } else if (decision.kind === 'unplaced') {
      expect(this.#attempts.running).to.deep.equal([]);
      this.#finishCount += 1;
      this.#attempts.finish();
    }
  }
}
