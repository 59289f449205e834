import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { RelayedSuspects } from '@sesamegrade/core/poison/relayed-suspects';
import {
  endpointId,
  fingerprint,
  routerId,
  serviceId,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { SystemTimerService } from '@sesamegrade/router/process/system-timer-service';
import { SilentAddress } from '@sesamegrade/stand-ins/deployment/silent-address';
import type { DecisionLog } from '../logs/decision-log';
import { ConnectionPool } from './connection-pool';
import { CrashDetector } from './crash-detector';
import { DirectDialer } from './endpoint-dialer';

const content = fingerprint('content');
const HOST = '127.0.0.1';

describe('CrashDetector', () => {
  let timers: SystemTimerService;
  let server: Server;
  let entry: EndpointEntry;
  let endpointDirectory: EndpointDirectory;
  let suspects: RelayedSuspects;
  let detector: CrashDetector;

  beforeEach(async () => {
    timers = new SystemTimerService();
    server = createServer();
    server.listen(0, HOST);
    await once(server, 'listening');
    entry = {
      id: endpointId('e'),
      service: serviceId('s'),
      address: { host: HOST, port: (server.address() as AddressInfo).port },
      zone: zoneId('z'),
      slots: 1,
      leaving: false,
      warmUp: milliseconds(0),
      startedAt: 1,
      softwareVersion: undefined,
    };
    endpointDirectory = new EndpointDirectory();
    endpointDirectory.replace([entry], timers.now());
    const self = routerId('r');
    suspects = new RelayedSuspects({ self, routers: () => [self] });
    const endpointDialer = new DirectDialer();
    detector = new CrashDetector({
      suspects,
      endpointDirectory,
      connectionPool: new ConnectionPool(() => timers.now(), endpointDialer),
      endpointDialer,
      timers,
      log: { write: () => undefined } as unknown as DecisionLog,
    });
  });

  afterEach(() => {
    timers.stop();
    server.close();
  });

  async function endProcess(): Promise<void> {
    server.close();
    await once(server, 'close');
  }

  const lapse = () => {
    detector.onDirectoryEvents([{ kind: 'lapsed', id: entry.id }]);
  };

  it('takes a break for a crash if the endpoint refuses a connection', async () => {
    await endProcess();
    await detector.onBroken(entry, [content]);
    expect(suspects.suspicion(content)).to.equal('suspect');
  });

  it('takes no break for a crash if the endpoint listens, also when its entry lapses later', async () => {
    await detector.onBroken(entry, [content]);
    lapse();
    expect(suspects.suspicion(content)).to.equal('none');
  });

  it('takes the end of an endpoint that leaves for no crash', async () => {
    await endProcess();
    endpointDirectory.markLeaving(entry.id, entry.startedAt);
    await detector.onBroken(entry, [content]);
    lapse();
    expect(suspects.suspicion(content)).to.equal('none');
  });

  it('takes the end of an endpoint that left before its entry went for no crash', async () => {
    endpointDirectory.markLeaving(entry.id, entry.startedAt);
    const verdict = detector.onBroken(entry, [content]);
    detector.onDirectoryEvents([{ kind: 'gone', id: entry.id }]);
    await verdict;
    expect(suspects.suspicion(content)).to.equal('none');
  });

  // Guards against a crash that a peer reports first passing for a planned end.
  it('takes a break for a crash although a peer has reported the endpoint gone meanwhile', async () => {
    await endProcess();
    const verdict = detector.onBroken(entry, [content]);
    endpointDirectory.applyDeparture(entry.id);
    await verdict;
    expect(suspects.suspicion(content)).to.equal('suspect');
  });

  it('waits for the entry of an endpoint that does not answer the probe', async () => {
    const silent = new SilentAddress();
    try {
      const unreachable = { ...entry, address: await silent.start() };
      await detector.onBroken(unreachable, [content]);
      expect(suspects.suspicion(content)).to.equal('none');
      lapse();
      expect(suspects.suspicion(content)).to.equal('suspect');
    } finally {
      silent.stop();
    }
  });

  it('takes another instance at the address for the end of the earlier one', async () => {
    const verdict = detector.onBroken(entry, [content]);
    detector.onReplaced(entry.id);
    await verdict;
    expect(suspects.suspicion(content)).to.equal('suspect');
  });

  it('counts one crash for all breaks of an instance', async () => {
    await endProcess();
    await Promise.all([
      detector.onBroken(entry, [content]),
      detector.onBroken(entry, [content, fingerprint('other')]),
    ]);
    expect(detector.crashCount).to.equal(1);
    expect(suspects.suspicion(content)).to.equal('suspect');
  });
});
