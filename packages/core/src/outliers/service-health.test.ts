import { expect } from 'chai';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { attemptId, endpointId, serviceId, zoneId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { ServiceHealth } from './service-health';

const entry = (service: string, id: string): EndpointEntry => ({
  id: endpointId(id),
  service: serviceId(service),
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 4,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
});

const now = instant(0);

function refuse(health: ServiceHealth, id: string): void {
  for (let count = 0; count < 6; count += 1) {
    const attempt = attemptId(`${id}-${count}`);
    health.started(endpointId(id), attempt, now);
    health.ended(endpointId(id), attempt, { kind: 'connection-refused' }, now);
  }
}

describe('ServiceHealth', () => {
  it('does not let ejections of one service use up the cap of another', () => {
    const health = new ServiceHealth();
    const engines = ['e1', 'e2', 'e3'].map(id => entry('engines', id));
    const plain = ['p1', 'p2', 'p3'].map(id => entry('plain', id));
    health.endpointsChanged([...engines, ...plain], now);
    refuse(health, 'e1');
    refuse(health, 'p1');
    expect(health.accepts(endpointId('e1'))).to.equal(false);
    expect(health.accepts(endpointId('p1'))).to.equal(false);
    refuse(health, 'p2');
    expect(health.accepts(endpointId('p2'))).to.equal(true);
  });

  it('forgets endpoints that are gone and knows nothing bad of unknown ones', () => {
    const health = new ServiceHealth();
    health.endpointsChanged([entry('s', 'a'), entry('s', 'b')], now);
    refuse(health, 'a');
    health.endpointsChanged([entry('s', 'b')], now);
    health.endpointsChanged([entry('s', 'a'), entry('s', 'b')], now);
    expect(health.accepts(endpointId('a'))).to.equal(true);
    expect(health.health(endpointId('unknown'))).to.equal(1);
  });
});
