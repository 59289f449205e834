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
  it('applies all operations of a transaction or none', async () => {
    const platform = new MemoryPlatform(new ManualTimerService());
    await platform.write([insert('b')]);
    expect(await platform.write([insert('a'), insert('b')])).to.deep.equal({
      kind: 'conflict',
      operation: 1,
    });
    expect((await platform.read('t', 'a')).kind).to.equal('absent');
  });

  it('applies a write whose response is lost, but not one during an outage', async () => {
    const platform = new MemoryPlatform(new ManualTimerService());
    platform.faults.loseWriteResponses = true;
    expect((await platform.write([insert('a')])).kind).to.equal('unknown');
    expect((await platform.read('t', 'a')).kind).to.equal('found');
    platform.faults.outage = true;
    expect((await platform.write([insert('b')])).kind).to.equal('unavailable');
    platform.faults.outage = false;
    expect((await platform.read('t', 'b')).kind).to.equal('absent');
  });

  it('delays responses by the configured time, and pages a scan', async () => {
    const timers = new ManualTimerService();
    const platform = new MemoryPlatform(timers);
    await platform.write([insert('a'), insert('b'), insert('c')]);
    platform.faults.delay = milliseconds(500);
    const pages: unknown[] = [];
    const pending = platform
      .scan({ table: 't', limit: 2 })
      .then(response => pages.push(response.kind === 'rows' && response.next));
    timers.advance(milliseconds(499));
    expect(pages).to.deep.equal([]);
    timers.advance(milliseconds(1));
    await pending;
    expect(pages).to.deep.equal(['b']);
  });
});
