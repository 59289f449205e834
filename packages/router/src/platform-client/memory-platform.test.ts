import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import type { TableOperation } from '@sesamegrade/core/types/platform';
import { milliseconds } from '@sesamegrade/core/types/units';
import { MemoryPlatform } from './memory-platform';

const insert = (key: string): TableOperation => ({
  table: 't',
  key,
  condition: { kind: 'absent' },
  change: { kind: 'put', value: key },
});

describe('MemoryPlatform', () => {
  it('applies a transaction whole or not at all', async () => {
    const platform = new MemoryPlatform(new ManualTimerService());
    await platform.write([insert('b')]);
    expect(await platform.write([insert('a'), insert('b')])).to.deep.equal({
      kind: 'conflict',
      operation: 1,
    });
    expect((await platform.read('t', 'a')).kind).to.equal('absent');
  });

  it('loses the answer after the write, or the write itself', async () => {
    const platform = new MemoryPlatform(new ManualTimerService());
    platform.faults.loseWriteResponses = true;
    expect((await platform.write([insert('a')])).kind).to.equal('unknown');
    expect((await platform.read('t', 'a')).kind).to.equal('found');
    platform.faults.outage = true;
    expect((await platform.write([insert('b')])).kind).to.equal('unavailable');
    platform.faults.outage = false;
    expect((await platform.read('t', 'b')).kind).to.equal('absent');
  });

  it('answers late when slow, and pages a scan', async () => {
    const timers = new ManualTimerService();
    const platform = new MemoryPlatform(timers);
    await platform.write([insert('a'), insert('b'), insert('c')]);
    platform.faults.delay = milliseconds(500);
    const answers: unknown[] = [];
    const pending = platform
      .scan({ table: 't', limit: 2 })
      .then(answer => answers.push(answer.kind === 'rows' && answer.next));
    timers.advance(milliseconds(499));
    expect(answers).to.deep.equal([]);
    timers.advance(milliseconds(1));
    await pending;
    expect(answers).to.deep.equal(['b']);
  });
});
