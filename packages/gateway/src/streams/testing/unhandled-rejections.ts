/** Collects promises that rejected with nobody to handle it, for tests that expect none. */
export interface RejectionWatch {
  /** Returns the reasons so far, once all promises that are due have been settled. */
  readonly settle: () => Promise<readonly unknown[]>;
  readonly stop: () => void;
}

/** Rounds of the event loop after which rejections have been reported. */
const ROUNDS = 3;

export function watchRejections(): RejectionWatch {
  const reasons: unknown[] = [];
  const listeners = process.listeners('unhandledRejection');
  const collect = (reason: unknown) => {
    reasons.push(reason);
  };
  // The test runner fails at the first one, whichever test runs by then.
  process.removeAllListeners('unhandledRejection');
  process.on('unhandledRejection', collect);
  return {
    settle: async () => {
      for (let round = 0; round < ROUNDS; round += 1) {
        await new Promise(resolve => {
          setImmediate(resolve);
        });
      }
      return reasons;
    },
    stop: () => {
      process.off('unhandledRejection', collect);
      for (const listener of listeners) {
        process.on('unhandledRejection', listener);
      }
    },
  };
}
