import { expect } from 'chai';

import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import { milliseconds } from '@sesamegrade/core/types/units';
import type {
  DialCallback,
  EndpointSocket,
} from '../endpoints/endpoint-dialer';
import { PathDialing } from './path-dialing';
import type { DialingEnd, PathDialingOptions } from './path-dialing';
import { TunnelRefusedError } from './tunnel-client';
import { TunnelStatus } from './tunnel-server';

const peers = Array.from({ length: 6 }, (_value, index): RouterIdentity => ({
  id: routerId(`r-${index}`),
  incarnation: incarnation(1),
  zone: zoneId('z'),
  address: { host: '10.0.0.1', port: index + 1 },
  power: 1,
}));

const refusal = (status: number) => fail(new TunnelRefusedError(status));
const connectError = (code: string) =>
  fail(Object.assign(new Error(code), { code }));

describe('PathDialing', () => {
  let timers: ManualTimerService;
  let direct: DialCallback | undefined;
  let asked: { peer: string; answer: DialCallback }[];
  let end: DialingEnd | undefined;
  let result: Result<EndpointSocket, Error> | undefined;
  let cancelled: number;

  function dial(fields: Partial<PathDialingOptions> = {}) {
    timers = new ManualTimerService();
    direct = undefined;
    asked = [];
    end = undefined;
    result = undefined;
    cancelled = 0;
    const cancel = () => {
      cancelled += 1;
    };
    const dialing = new PathDialing({
      request: {
        address: { host: '10.0.0.9', port: 9 },
        timeout: milliseconds(300),
      },
      mode: 'direct',
      directDialer: {
        dial: (_request, callback) => {
          direct = callback;
          return { cancel };
        },
      },
      tunnelClient: {
        dial: ({ id }, _address, _timeout, answer) => {
          asked.push({ peer: id, answer });
          return { cancel };
        },
      },
      timers,
      peers: () => peers,
      onPeerEnd: () => undefined,
      onEnd: ended => {
        end = ended;
      },
      callback: dialed => {
        result = dialed;
      },
      ...fields,
    });
    dialing.start();
    return dialing;
  }

  const socket = () =>
    ({ destroy: () => undefined }) as unknown as EndpointSocket['socket'];

  it('asks no other router while the direct connection comes about soon', () => {
    dial();
    timers.advance(milliseconds(99));
    direct?.(succeed({ socket: socket(), via: undefined }));
    timers.advance(milliseconds(500));
    expect(asked).to.deep.equal([]);
    expect(end).to.deep.equal({ kind: 'direct' });
  });

  it('uses the first connection through another router, and says that the direct one timed out', () => {
    dial();
    timers.advance(milliseconds(100));
    timers.advance(milliseconds(50));
    expect(asked.map(({ peer }) => peer)).to.deep.equal(['r-0', 'r-1']);
    asked[1]?.answer(succeed({ socket: socket(), via: routerId('r-1') }));
    expect(end).to.deep.equal({ kind: 'peer', cut: 'timeout' });
    expect(result?.ok).to.equal(true);
    expect(cancelled).to.be.at.least(2);
  });

  it('asks at once after a refusal, and fails as refused if a router confirms it', () => {
    dial();
    direct?.(connectError('ECONNREFUSED'));
    expect(asked).to.have.length(1);
    asked[0]?.answer(refusal(TunnelStatus.endpointRefused));
    expect(end).to.deep.equal({ kind: 'unreachable' });
    expect(result).to.have.nested.property('failure.code', 'ECONNREFUSED');
  });

  it('does not take a refusal for the end of the endpoint that nobody confirms', () => {
    dial();
    direct?.(connectError('ECONNREFUSED'));
    for (let index = 0; index < peers.length; index += 1) {
      asked[index]?.answer(refusal(TunnelStatus.unavailable));
    }
    expect(asked).to.have.length(peers.length);
    expect(end).to.deep.equal({ kind: 'failed' });
    expect(result).to.have.nested.property('failure.code', 'NO_PATH');
  });

  // Guards against content that is condemned late while all endpoints of a service are down.
  it('fails as refused if the whole service refuses all routers that were asked', () => {
    dial();
    direct?.(connectError('ECONNREFUSED'));
    for (let index = 0; index < peers.length; index += 1) {
      expect(result).to.equal(undefined);
      asked[index]?.answer(refusal(TunnelStatus.serviceRefused));
    }
    expect(end).to.deep.equal({ kind: 'unreachable' });
    expect(result).to.have.nested.property('failure.code', 'ECONNREFUSED');
  });

  it('goes on to ask while only one router says that the whole service refuses', () => {
    dial();
    direct?.(connectError('ECONNREFUSED'));
    asked[0]?.answer(refusal(TunnelStatus.serviceRefused));
    asked[1]?.answer(succeed({ socket: socket(), via: routerId('r-1') }));
    expect(end).to.deep.equal({ kind: 'peer', cut: 'refused' });
  });

  // Guards against requests that wait for every other router while an endpoint is dark.
  it('gives up an endpoint that two other routers did not reach in time either', () => {
    dial();
    timers.advance(milliseconds(100));
    timers.advance(milliseconds(50));
    direct?.(connectError('CONNECT_TIMEOUT'));
    asked[0]?.answer(refusal(TunnelStatus.endpointTimeout));
    expect(result).to.equal(undefined);
    asked[1]?.answer(refusal(TunnelStatus.endpointTimeout));
    expect(end).to.deep.equal({ kind: 'unreachable' });
    expect(result).to.have.nested.property('failure.code', 'CONNECT_TIMEOUT');
  });

  it('tries the direct path last if it is thought to be cut', () => {
    dial({ mode: 'peer', peers: () => [] });
    expect(direct).to.not.equal(undefined);
    direct?.(succeed({ socket: socket(), via: undefined }));
    expect(end).to.deep.equal({ kind: 'direct' });
  });

  it('calls back once when it is cancelled', () => {
    const dialing = dial();
    dialing.cancel();
    direct?.(succeed({ socket: socket(), via: undefined }));
    expect(end).to.deep.equal({ kind: 'failed' });
    expect(result?.ok).to.equal(false);
  });
});
