import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'chai';

import { EndpointPaths } from '@sesamegrade/core/endpoint-paths/endpoint-paths';
import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { RouterIdentity } from '@sesamegrade/core/membership/router-table';
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { Address } from '@sesamegrade/core/types/endpoint';
import {
  endpointId,
  incarnation,
  routerId,
  serviceId,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { instant, milliseconds, seconds } from '@sesamegrade/core/types/units';
import { PeerProof } from '@sesamegrade/router/peers/peer-proof';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import { ScriptedServer } from '@sesamegrade/stand-ins/deployment/scripted-server';
import { DirectDialer } from '../endpoints/endpoint-dialer';
import type { DecisionLog } from '../logs/decision-log';
import { ShutdownSequence } from '../process/shutdown-sequence';
import { TunnelClient, TunnelRefusedError } from './tunnel-client';
import { TunnelServer, TunnelStatus } from './tunnel-server';

const identity = (name: string, port: number): RouterIdentity => ({
  id: routerId(name),
  incarnation: incarnation(1),
  zone: zoneId('z'),
  address: { host: '127.0.0.1', port },
  power: 1,
});

describe('a tunnel through another router', () => {
  const timers = new SystemTimerService();
  let endpoint: ScriptedServer;
  let endpointSocket: Socket | undefined;
  let http: Server;
  let peer: RouterIdentity;
  let paths: EndpointPaths;
  let endpointDirectory: EndpointDirectory;
  let shutdownSequence: ShutdownSequence;
  let tunnels: TunnelServer;

  beforeEach(async () => {
    endpoint = await new ScriptedServer((_request, socket) => {
      endpointSocket = socket;
      socket.write('reply');
    }).start();
    http = createServer();
    await new Promise<void>(resolve => {
      http.listen(0, '127.0.0.1', resolve);
    });
    peer = identity('peer', (http.address() as AddressInfo).port);
    endpointDirectory = new EndpointDirectory();
    list([endpointAddress()]);
    paths = new EndpointPaths();
    shutdownSequence = new ShutdownSequence(() => seconds(5));
    tunnels = new TunnelServer({
      peerProof: proofOf(peer, 'secret'),
      directDialer: new DirectDialer(),
      endpointDirectory,
      endpointPaths: paths,
      shutdownSequence,
      backgroundTasks: new BackgroundTasks(({ error }) => {
        throw error;
      }),
      log: { write: () => undefined } as unknown as DecisionLog,
    });
    http.on('connect', request => {
      tunnels.accept(request, request.socket);
    });
  });

  afterEach(async () => {
    tunnels.close();
    http.close();
    await endpoint.stop();
  });

  function list(addresses: readonly Address[], services = ['s']) {
    endpointDirectory.replace(
      addresses.map((address, index) => ({
        id: endpointId(`e-${index}`),
        service: serviceId(services[index] ?? 's'),
        address,
        zone: zoneId('z'),
        slots: 1,
        leaving: false,
        warmUp: milliseconds(0),
        startedAt: 1,
        softwareVersion: undefined,
      })),
      instant(0),
    );
  }

  const proofOf = (self: RouterIdentity, secret: string) =>
    new PeerProof({ self, secret, wallTime: () => Date.now() });

  function endpointAddress() {
    const [host = '', port] = endpoint.address.split(':');
    return { host, port: Number(port) };
  }

  /** Resolves with the socket, or with the status or code of the failure. */
  function dial(secret = 'secret', address = endpointAddress()) {
    const client = new TunnelClient(proofOf(identity('self', 1), secret));
    return new Promise<Socket | string | number>(resolve => {
      client.dial(peer, address, milliseconds(1000), result => {
        if (result.ok) {
          resolve(result.value.socket);
          return;
        }
        const { failure } = result;
        resolve(
          failure instanceof TunnelRefusedError
            ? failure.status
            : failure.message,
        );
      });
    });
  }

  async function dialSocket(): Promise<Socket> {
    const socket = await dial();
    if (typeof socket !== 'object') {
      throw new Error(`no tunnel: ${socket}`);
    }
    return socket;
  }

  const nextEvent = (socket: Socket, name: string) =>
    new Promise<unknown>(resolve => {
      socket.once(name, resolve);
    });

  it('carries bytes both ways, and the end of the endpoint', async () => {
    const socket = await dialSocket();
    const reply = nextEvent(socket, 'data');
    socket.write('GET / HTTP/1.1\r\n\r\n');
    expect(String(await reply)).to.equal('reply');
    const end = nextEvent(socket, 'end');
    endpointSocket?.end();
    await end;
    expect(socket.errored).to.equal(null);
    socket.destroy();
  });

  // Guards against a stop of this router that the peer takes for the end of the endpoint's response.
  it('resets tunnels that it closes itself', async () => {
    const socket = await dialSocket();
    const reply = nextEvent(socket, 'data');
    socket.write('GET / HTTP/1.1\r\n\r\n');
    await reply;
    const error = nextEvent(socket, 'error');
    tunnels.close();
    expect(await error).to.have.property('code', 'CONNECTION_RESET');
  });

  it('passes on a reset as a reset', async () => {
    const socket = await dialSocket();
    const reply = nextEvent(socket, 'data');
    socket.write('GET / HTTP/1.1\r\n\r\n');
    await reply;
    const error = nextEvent(socket, 'error');
    endpointSocket?.resetAndDestroy();
    expect(await error).to.have.property('code', 'CONNECTION_RESET');
  });

  it('closes the connection to the endpoint when the router closes its own', async () => {
    const socket = await dialSocket();
    const reply = nextEvent(socket, 'data');
    socket.write('GET / HTTP/1.1\r\n\r\n');
    await reply;
    const closed = nextEvent(endpointSocket!, 'close');
    socket.destroy();
    await closed;
    while (tunnels.openCount > 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
  });

  it('is not opened without the secret of the fleet', async () => {
    expect(await dial('other')).to.equal(TunnelStatus.unauthorized);
    expect(endpoint.connections).to.equal(0);
  });

  it('leads to no address that is not an endpoint', async () => {
    const { port } = http.address() as AddressInfo;
    expect(await dial('secret', { host: '127.0.0.1', port })).to.equal(
      TunnelStatus.unknownEndpoint,
    );
  });

  it('is refused by a router that is cut off itself or stops', async () => {
    paths.recordPeer({ host: '10.0.0.1', port: 1 }, 'timeout', instant(0));
    paths.recordPeer({ host: '10.0.0.1', port: 2 }, 'timeout', instant(0));
    expect(await dial()).to.equal(TunnelStatus.unavailable);
    paths.recordDirect({ host: '10.0.0.1', port: 1 });
    shutdownSequence.start(timers.now());
    expect(await dial()).to.equal(TunnelStatus.stopping);
  });

  describe('to an endpoint that refuses connections', () => {
    let refusing: Address;

    beforeEach(async () => {
      const ended = await new ScriptedServer(() => undefined).start();
      const [host = '', port] = ended.address.split(':');
      refusing = { host, port: Number(port) };
      await ended.stop();
    });

    it('tells so if the router reaches another endpoint', async () => {
      list([refusing, endpointAddress()]);
      expect(await dial('secret', refusing)).to.equal(
        TunnelStatus.endpointRefused,
      );
    });

    // Guards against a router that is partitioned from one service only, and keeps
    // others from reaching that service.
    it('is not proof if the router reaches only another service', async () => {
      list(
        [refusing, { ...refusing, host: '127.0.0.2' }, endpointAddress()],
        ['s', 's', 'other'],
      );
      expect(await dial('secret', refusing)).to.equal(
        TunnelStatus.serviceRefused,
      );
    });

    it('is not proof either if there is no other service to compare with', async () => {
      list([refusing, { ...refusing, host: '127.0.0.2' }]);
      expect(await dial('secret', refusing)).to.equal(
        TunnelStatus.serviceRefused,
      );
    });

    it('tells so if it reaches another service and the endpoint is the only one of its own', async () => {
      list([refusing, endpointAddress()], ['s', 'other']);
      expect(await dial('secret', refusing)).to.equal(
        TunnelStatus.endpointRefused,
      );
    });

    // Guards against content that is condemned as a router that is cut off itself,
    // and does not know yet, confirms the end of an endpoint.
    it('says nothing if the router reaches no other endpoint either', async () => {
      const other = { ...endpointAddress() };
      list([refusing, other], ['s', 'other']);
      await endpoint.stop();
      expect(await dial('secret', refusing)).to.equal(TunnelStatus.unavailable);
      endpoint = await new ScriptedServer(() => undefined).start();
    });
  });
});
