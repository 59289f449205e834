import { expect } from 'chai';
import type { Logger } from 'winston';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import { DecisionLog } from './decision-log';

function setUp(linesPerSecond: number, output = { dropped: 0 }) {
  const timers = new ManualTimerService();
  const written: { readonly kind: string; readonly fields: object }[] = [];
  const logger = {
    info: (kind: string, fields: object) => {
      written.push({ kind, fields });
    },
  } as unknown as Logger;
  return {
    log: new DecisionLog({ logger, output, timers, linesPerSecond }),
    timers,
    written,
  };
}

describe('DecisionLog', () => {
  it('limits a burst of refusals and logs how many lines were dropped', () => {
    const { log, timers, written } = setUp(5);
    for (let count = 0; count < 1000; count += 1) {
      log.write('refused', { request: `r${count}` });
    }
    expect(written).to.have.length(5);
    expect(log.dropped).to.equal(995);
    timers.advance(seconds(1));
    expect(written.at(-1)).to.deep.include({ kind: 'lines-dropped' });
    expect(written.at(-1)?.fields).to.deep.include({ kinds: { refused: 995 } });
  });

  // Guards against lines that are lost unnoticed while the reader of the log stalls.
  it('logs how many lines its output has not written, again only once there are more', () => {
    const output = { dropped: 0 };
    const { log, timers, written } = setUp(5, output);
    output.dropped = 7;
    timers.advance(seconds(3));
    expect(log.dropped).to.equal(7);
    expect(written.map(({ kind }) => kind)).to.deep.equal(['lines-dropped']);
    expect(written[0]?.fields).to.deep.include({ unwritten: 7 });
    output.dropped = 8;
    timers.advance(seconds(1));
    expect(written.at(-1)?.fields).to.deep.include({ unwritten: 8 });
  });

  it('limits each kind of line by itself, so that refusals do not hide a lost dependency', () => {
    const { log, written } = setUp(1);
    log.write('refused');
    log.write('refused');
    log.write('dependency-lost');
    expect(written.map(({ kind }) => kind)).to.deep.equal([
      'refused',
      'dependency-lost',
    ]);
  });

  it('writes lines of a limited kind again in the next second', () => {
    const { log, timers, written } = setUp(1);
    log.write('attempt');
    timers.advance(seconds(1));
    log.write('attempt');
    expect(written).to.have.length(2);
  });
});
