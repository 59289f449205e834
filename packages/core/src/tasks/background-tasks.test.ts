import { expect } from 'chai';

import { BackgroundTasks } from './background-tasks';
import type { TaskFailure } from './background-tasks';

describe('BackgroundTasks', () => {
  // Guards against a rejection that nobody handles, which ends the process.
  it('reports work that throws or rejects', async () => {
    const failures: TaskFailure[] = [];
    const tasks = new BackgroundTasks(failure => failures.push(failure));
    const error = new Error('unusable');
    tasks.run('throws', () => {
      throw error;
    });
    tasks.run('rejects', () => Promise.reject(error));
    tasks.run('works', () => Promise.resolve());
    await new Promise(resolve => {
      setImmediate(resolve);
    });
    expect(failures).to.deep.equal([
      { task: 'throws', error },
      { task: 'rejects', error },
    ]);
  });

  it('starts the work at once', () => {
    let isStarted = false;
    new BackgroundTasks(() => undefined).run('work', () => {
      isStarted = true;
      return Promise.resolve();
    });
    expect(isStarted).to.equal(true);
  });
});
