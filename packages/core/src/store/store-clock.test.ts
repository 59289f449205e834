import { expect } from 'chai';

import { instant } from '../types/units';
import { StoreClock } from './store-clock';

const answer = (
  storeTime: number | undefined,
  sent: number,
  received: number,
) => ({
  storeTime,
  sentAt: instant(sent),
  receivedAt: instant(received),
});

describe('StoreClock', () => {
  // Guards against a late response that confirms a table as of its arrival.
  it('dates a late response by when it was made', () => {
    const clock = new StoreClock();
    expect(clock.madeAt(answer(500, 1000, 1002))).to.equal(1000);
    expect(clock.madeAt(answer(1502, 2000, 2600))).to.equal(2002);
  });

  it('dates a response that the store held back by its end', () => {
    const clock = new StoreClock();
    clock.madeAt(answer(500, 1000, 1002));
    expect(clock.madeAt(answer(2300, 2000, 2801))).to.equal(2800);
  });

  it('relates the clocks anew after its own stood still', () => {
    const clock = new StoreClock();
    clock.madeAt(answer(500, 1000, 1002));
    expect(clock.isAhead(1520, instant(2000))).to.equal(false);
    expect(clock.isAhead(5500, instant(2000))).to.equal(true);
    clock.madeAt(answer(5500, 2000, 2002));
    expect(clock.toLocal(5600)).to.equal(2100);
    expect(clock.toStore(instant(2100))).to.equal(5600);
    clock.reset();
    expect(clock.toLocal(5600)).to.equal(undefined);
  });

  it('never dates a response outside of the time of its call', () => {
    const clock = new StoreClock();
    clock.madeAt(answer(0, 1000, 1002));
    expect(clock.madeAt(answer(5000, 2000, 2002))).to.equal(2002);
    expect(clock.madeAt(answer(100, 3000, 3002))).to.equal(3000);
    expect(clock.madeAt(answer(undefined, 4000, 4900))).to.equal(4000);
  });
});
