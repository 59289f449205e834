import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

import { expect } from 'chai';
import { WebSocket } from 'ws';

import { ConfigurationReplica } from '@sesamegrade/core/configuration/configuration-replica';
import { ConfigurationTopic } from '@sesamegrade/core/configuration/configuration-topic';
import { contentHash } from '@sesamegrade/core/configuration/content';
import { GossipScheduler } from '@sesamegrade/core/gossip/gossip-scheduler';
import { EndpointTable } from '@sesamegrade/core/membership/endpoint-table';
import { MembershipTopic } from '@sesamegrade/core/membership/membership-topic';
import { RouterTable } from '@sesamegrade/core/membership/router-table';
import { Random } from '@sesamegrade/core/random/random';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { SystemTimerService } from '../process/system-timer-service';
import { PeerNetwork } from './peer-network';

const HOST = '127.0.0.1';

async function routerOf(name: string, secret = 'of the fleet') {
  const timers = new SystemTimerService();
  const recorder = new NoopEventRecorder();
  const random = new Random(name.length);
  const address = { host: HOST, port: 0 };
  const id = routerId(name);
  const start = incarnation(1);
  const self = { id, incarnation: start, zone: zoneId('a'), address };
  const routers = new RouterTable({ self, recorder });
  const endpoints = new EndpointTable({ recorder });
  const routerCount = () => 3;
  const keeper = new ConfigurationReplica({ random, recorder, routerCount });
  const configurationTopic = new ConfigurationTopic({ replica: keeper });
  const membership = new MembershipTopic({ routers, endpoints });
  const topics = [membership, configurationTopic];
  const scheduler = new GossipScheduler({ topics, random });
  const clock = new HybridClock(() => timers.wallTime());
  const parts = { routers, scheduler, keeper, configurationTopic, clock };
  const network = new PeerNetwork({ secret, ...parts, timers, random });
  const bound = await network.start();
  // The identity that peers are told holds the port that was picked.
  Object.assign(address, bound);
  return { id, routers, keeper, network, timers, address, bound, name };
}

type Router = Awaited<ReturnType<typeof routerOf>>;

function introduce(routers: readonly Router[]): void {
  const list = routers.map(({ name, bound }) => ({
    vm: name,
    kind: 'router',
    ...bound,
    zone: 'a',
    state: 'live',
    incarnation: 1,
    capacity: 0,
  }));
  for (const { routers: table, network, timers } of routers) {
    table.onVmList(list, timers.now());
    network.reconcile();
  }
}

function accept({ keeper }: Router, limit: number): void {
  const values = { teamLimit: limit };
  keeper.applyRecord({
    version: keeper.version + 1,
    changeId: `c${limit}`,
    who: 'operator',
    when: 1,
    change: { kind: 'set-defaults', values },
    hash: contentHash({ defaults: values, exceptions: [] }),
  });
}

/** Waits for a condition; the test's own time limit ends a wait in vain. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

async function stop(routers: readonly Router[]): Promise<void> {
  for (const { network, timers } of routers) {
    await network.stop();
    timers.stop();
  }
}

/** Passes bytes on until it is told to be silent, as a stopped machine is. */
async function silentProxy(target: Router) {
  const sockets: Socket[] = [];
  const server = createServer(inward => {
    const outward = connect(target.bound.port, HOST);
    for (const socket of [inward, outward]) {
      socket.on('error', () => socket.destroy());
      sockets.push(socket);
    }
    inward.pipe(outward).pipe(inward);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  // Peers reach the router through the proxy, and are told so.
  target.address.port = port;
  return {
    router: { ...target, bound: { host: HOST, port } },
    silence: () => {
      server.close();
      sockets.forEach(socket => socket.unpipe().pause());
    },
    close: () => {
      sockets.forEach(socket => socket.destroy());
    },
  };
}

describe('PeerNetwork', () => {
  const names = ['r1', 'r2', 'r3'];

  it('carries a configuration to every router without a table, and counts its bytes', async () => {
    const fleet = await Promise.all(names.map(name => routerOf(name)));
    introduce(fleet);
    await until(() =>
      fleet.every(({ network }) => network.connected.length === 2),
    );
    accept(fleet[0]!, 5);
    accept(fleet[0]!, 6);
    await until(() => fleet.every(({ keeper }) => keeper.version === 2));
    expect(fleet[2]!.keeper.settings.get('teamLimit')).to.equal(6);
    const read = fleet.reduce(
      (sum, { network }) => sum + network.bytes.read,
      0,
    );
    expect(read).to.be.greaterThan(1000);
    await stop(fleet);
  });

  it('brings a late router up to date by the whole version', async () => {
    const first = await routerOf('r1');
    for (let limit = 1; limit <= 70; limit += 1) {
      accept(first, limit);
    }
    const late = await routerOf('r2');
    introduce([first, late]);
    await until(() => late.keeper.version === 70);
    await stop([first, late]);
  });

  it('spreads that a router leaves, and notices one that is gone', async () => {
    const fleet = await Promise.all(names.map(name => routerOf(name)));
    const [first, second, third] = fleet as [Router, Router, Router];
    introduce(fleet);
    await until(() =>
      fleet.every(({ network }) => network.connected.length === 2),
    );
    third.routers.leave();
    third.network.flush();
    await until(() => first.routers.get(third.id)?.phase === 'leaving');
    expect(first.routers.liveRouters(first.timers.now())).to.not.include(
      third.id,
    );
    await stop([second]);
    await until(
      () => first.routers.get(second.id)?.unreachableSince !== undefined,
    );
    await stop([first, third]);
  });

  it('notices a peer that went silent without closing its connection', async () => {
    const [first, second] = [await routerOf('r1'), await routerOf('r2')];
    const proxy = await silentProxy(second);
    introduce([first, proxy.router]);
    await until(() => first.network.connected.length === 1);
    proxy.silence();
    await until(
      () => first.routers.get(second.id)?.unreachableSince !== undefined,
    );
    expect(first.network.connected).to.deep.equal([]);
    proxy.close();
    await stop([first, second]);
  });

  it('lets in nobody without the secret', async () => {
    const first = await routerOf('r1');
    const stranger = await routerOf('r2', 'guessed');
    introduce([first, stranger]);
    await until(() => first.network.rejected > 0);
    await until(() => stranger.network.rejected > 0);
    expect(first.network.connected).to.deep.equal([]);
    const raw = new WebSocket(
      `ws://${HOST}:${first.bound.port}/?connectionParams=1`,
    );
    raw.on('open', () => {
      raw.send(Buffer.from([0xc1, 0xff, 0x00]));
      raw.send(Buffer.alloc(20_000));
    });
    await new Promise(resolve => raw.on('close', resolve));
    expect(first.network.connected).to.deep.equal([]);
    await stop([first, stranger]);
  });
});
