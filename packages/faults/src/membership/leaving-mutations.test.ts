import { expect } from 'chai';

import { Departures } from '@sesamegrade/core/membership/departures';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { Random } from '@sesamegrade/core/random/random';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import type { EndpointId } from '@sesamegrade/core/types/ids';
import { endpointId, incarnation } from '@sesamegrade/core/types/ids';
import type { VmEntry } from '@sesamegrade/core/types/platform';
import { instant } from '@sesamegrade/core/types/units';

const HISTORIES = 300;
const STEPS = 30;
const MAX_STEP_MS = 400_000;
const engine = endpointId('engine-1');

const listed: VmEntry = {
  vm: engine,
  kind: 'engine',
  models: ['m'],
  host: '127.0.0.1',
  port: 9000,
  zone: 'a',
  state: 'live',
  incarnation: 1,
  capacity: 8,
};

class ForgetsDepartures extends Departures<EndpointId> {
  override has(): boolean {
    return false;
  }
}

/**
 * Counts the histories in which a stale VM list brings back an engine that
 * left.
 */
function countReturns(newDepartures: () => Departures<EndpointId>): number {
  let returned = 0;
  for (let seed = 1; seed <= HISTORIES; seed += 1) {
    returned += returnsInHistory(seed, newDepartures()) ? 1 : 0;
  }
  return returned;
}

function returnsInHistory(
  seed: number,
  departures: Departures<EndpointId>,
): boolean {
  const random = new Random(seed);
  const recorder = new NoopEventRecorder();
  const table = new EndpointTable({ recorder, departures });
  let now = instant(0);
  table.onVmList([listed], now);
  table.markLeaving(engine, incarnation(1), 'announced', now);
  for (let step = 0; step < STEPS; step += 1) {
    now = instant(now + random.integer(0, MAX_STEP_MS));
    const isListed = random.fraction() < 0.5;
    table.onVmList(isListed ? [listed] : [], now);
    if (random.fraction() < 0.3) {
      table.onSignal(engine, 'answered', now);
    }
    table.tick(instant(now + MAX_STEP_MS));
    if ([...table.endpoints()].length > 0) {
      return true;
    }
  }
  return false;
}

describe('histories of leaving endpoints', () => {
  it('never bring back an endpoint that left', () => {
    expect(countReturns(() => new Departures())).to.equal(0);
  });

  it('detect the return of an endpoint when departures are forgotten', () => {
    expect(countReturns(() => new ForgetsDepartures())).to.be.greaterThan(0);
  });
});
