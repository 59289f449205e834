import { expect } from 'chai';

import { EndpointDirectory } from '@sesamegrade/core/endpoints/endpoint-directory';
import { EndpointReplica } from '@sesamegrade/core/endpoints/endpoint-replica';
import { Random } from '@sesamegrade/core/random/random';
import { RouteTable } from '@sesamegrade/core/routes/route-table';
import { FeedCoverage } from '@sesamegrade/core/store/feed-coverage';
import { FIRST_ERA } from '@sesamegrade/core/store/feed-position';
import { StoreClock } from '@sesamegrade/core/store/store-clock';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { succeed } from '@sesamegrade/core/types/result';
import { seconds } from '@sesamegrade/core/types/units';
import { FleetReplica } from './fleet-replica';

describe('a configuration that a peer passed on', () => {
  // Guards against a 404 for a new route at a router whose peer is itself behind.
  it('is in force, and not counted as confirmed', () => {
    const timers = new ManualTimerService();
    const random = new Random(1);
    const feed = () => new FeedCoverage({ bound: seconds(2), random });
    const coverage = { endpoints: feed(), configuration: feed() };
    const directory = new EndpointDirectory();
    const routes = new RouteTable();
    const configuration = (version: number) =>
      ({ version, routes: [], services: new Map(), teams: [] }) as never;
    const replica = new FleetReplica({
      configurationFeed: {},
      endpointFeed: {},
      codec: { decodeConfiguration: () => succeed(configuration(6)) },
      routes,
      endpointDirectory: directory,
      endpointReplica: new EndpointReplica(directory, coverage.endpoints),
      coverage,
      feedUpdates: {},
      fleetReadiness: { notifyIfReady: () => undefined },
      storeClock: new StoreClock(),
      timers,
      random,
      backgroundTasks: {},
      log: { write: () => undefined },
      settings: { bounds: { configuration_ms: 2000, departure_ms: 2000 } },
    } as never);
    routes.apply(configuration(5));
    routes.recordConfirmation(timers.now());
    timers.advance(seconds(60));
    replica.applyPeerConfiguration(new Uint8Array(), FIRST_ERA);
    expect(routes.version).to.equal(6);
    expect(routes.timeSinceConfirmed(timers.now())).to.equal(60_000);
  });
});
