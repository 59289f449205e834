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
  softwareVersion: undefined,
});

const now = instant(0);

function refuseConnections(health: ServiceHealth, id: string): void {
  for (let count = 0; count < 6; count += 1) {
    const attempt = attemptId(`${id}-${count}`);
    health.onAttemptStarted(endpointId(id), attempt, now);
    health.onAttemptEnded(
      endpointId(id),
      attempt,
      { kind: 'connection-refused' },
      now,
    );
  }
}

describe('ServiceHealth', () => {
  it('does not let ejections in one service use up the ejection limit of another', () => {
    const health = new ServiceHealth();
    const engines = ['e1', 'e2', 'e3'].map(id => entry('engines', id));
    const plain = ['p1', 'p2', 'p3'].map(id => entry('plain', id));
    health.onEndpointsChanged([...engines, ...plain], now);
    refuseConnections(health, 'e1');
    refuseConnections(health, 'p1');
    expect(health.accepts(endpointId('e1'))).to.equal(false);
    expect(health.accepts(endpointId('p1'))).to.equal(false);
    refuseConnections(health, 'p2');
    expect(health.accepts(endpointId('p2'))).to.equal(true);
  });

  it('drops the state of removed endpoints and treats unknown ones as healthy', () => {
    const health = new ServiceHealth();
    health.onEndpointsChanged([entry('s', 'a'), entry('s', 'b')], now);
    refuseConnections(health, 'a');
    health.onEndpointsChanged([entry('s', 'b')], now);
    health.onEndpointsChanged([entry('s', 'a'), entry('s', 'b')], now);
    expect(health.accepts(endpointId('a'))).to.equal(true);
    expect(health.health(endpointId('unknown'))).to.equal(1);
  });
});
