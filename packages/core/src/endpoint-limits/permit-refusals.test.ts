import { expect } from 'chai';

import { endpointId, serviceId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { PermitRefusals } from './permit-refusals';

const service = serviceId('s');
const endpoint = endpointId('e');

describe('PermitRefusals', () => {
  it('stand for later queries of the endpoint until the time that was told', () => {
    const refusals = new PermitRefusals(() => 5);
    refusals.addEndpoint(endpoint, milliseconds(300), instant(0));
    expect(refusals.remaining(endpoint, instant(100))).to.equal(200);
    expect(refusals.remaining(endpoint, instant(300))).to.equal(0);
  });

  it('stand for less urgent queries of the service, for longer in a larger fleet', () => {
    for (const [routers, lasts] of [
      [18, 18],
      [370, 370],
    ] as const) {
      const refusals = new PermitRefusals(() => routers);
      refusals.addService(service, 2, milliseconds(900), instant(0));
      const before = instant(lasts - 1);
      expect(refusals.ofService(service, 2, before)).to.equal(901 - lasts);
      expect(refusals.ofService(service, 3, before)).to.equal(901 - lasts);
      expect(refusals.ofService(service, 1, before)).to.equal(undefined);
      expect(refusals.ofService(service, 2, instant(lasts))).to.equal(
        undefined,
      );
    }
  });

  it('end when the limit of an endpoint changes', () => {
    const refusals = new PermitRefusals(() => 18);
    refusals.addEndpoint(endpoint, milliseconds(300), instant(0));
    refusals.addService(service, 0, milliseconds(300), instant(0));
    refusals.remove(endpoint);
    expect(refusals.remaining(endpoint, instant(1))).to.equal(0);
    expect(refusals.ofService(service, 0, instant(1))).to.equal(undefined);
  });
});
