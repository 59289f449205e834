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
import { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import { NoopEventRecorder } from '@sesamegrade/core/timeline/event';
import { HybridClock } from '@sesamegrade/core/timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '@sesamegrade/core/types/ids';
import { SystemTimerService } from '../process/system-timer-service';
import { PeerNetwork } from './peer-network';

const HOST = '127.0.0.1';

async function startRouter(name: string, secret = 'of the fleet') {
  const timers = new SystemTimerService();
  const recorder = new NoopEventRecorder();
  const random = new Random(name.length);
  const address = { host: HOST, port: 0 };
  const id = routerId(name);
  const ownIncarnation = incarnation(1);
  const self = { id, incarnation: ownIncarnation, zone: zoneId('a'), address };
  const routers = new RouterTable({ self, recorder });
  const endpoints = new EndpointTable({ recorder });
  const routerCount = () => 3;
  const configuration = new ConfigurationReplica({
    random,
    recorder,
    routerCount,
  });
  const configurationTopic = new ConfigurationTopic({ replica: configuration });
  const membership = new MembershipTopic({ routers, endpoints });
  const topics = [membership, configurationTopic];
  const scheduler = new GossipScheduler({ topics, random });
  const clock = new HybridClock(() => timers.wallTime());
  const components = {
    routers,
    scheduler,
    keeper: configuration,
    configurationTopic,
    clock,
  };
  const network = new PeerNetwork({
    secret,
    ...components,
    timers,
    random,
    backgroundTasks: new BackgroundTasks(({ error }) => {
      throw error;
    }),
  });
  const bound = await network.start();
  // The identity sent to peers must contain the port that was selected.
  Object.assign(address, bound);
  return { id, routers, configuration, network, timers, address, bound, name };
}

type Router = Awaited<ReturnType<typeof startRouter>>;

function announce(routers: readonly Router[]): void {
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

function applyChange({ configuration }: Router, limit: number): void {
  const values = { teamLimit: limit };
  configuration.applyRecord({
    version: configuration.version + 1,
    changeId: `c${limit}`,
    who: 'operator',
    when: 1,
    change: { kind: 'set-defaults', values },
    hash: contentHash({ defaults: values, exceptions: [] }),
  });
}

/** Polls until the condition holds; otherwise the timeout of the test applies. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

async function stop(routers: readonly Router[]): Promise<void> {
  for (const { network, timers } of routers) {
    await network.stop();
    timers.stop();
  }
}

/** Forwards bytes until it is silenced; then it behaves like a stopped VM, with its connections still open. */
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
  // The router's identity must contain the address of the proxy, through which peers reach it.
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

  it('spreads a configuration to all routers without the platform, and counts bytes', async () => {
    const fleet = await Promise.all(names.map(name => startRouter(name)));
    announce(fleet);
    await waitUntil(() =>
      fleet.every(({ network }) => network.connectedPeers.length === 2),
    );
    applyChange(fleet[0]!, 5);
    applyChange(fleet[0]!, 6);
    await waitUntil(() =>
      fleet.every(({ configuration }) => configuration.version === 2),
    );
    expect(fleet[2]!.configuration.settings.get('teamLimit')).to.equal(6);
    const read = fleet.reduce(
      (sum, { network }) => sum + network.bytes.read,
      0,
    );
    expect(read).to.be.greaterThan(1000);
    await stop(fleet);
  });

  it('sends the complete configuration to a router that joins late', async () => {
    const first = await startRouter('r1');
    for (let limit = 1; limit <= 70; limit += 1) {
      applyChange(first, limit);
    }
    const late = await startRouter('r2');
    announce([first, late]);
    await waitUntil(() => late.configuration.version === 70);
    await stop([first, late]);
  });

  it('announces a leaving router and detects a stopped one', async () => {
    const fleet = await Promise.all(names.map(name => startRouter(name)));
    const [first, second, third] = fleet as [Router, Router, Router];
    announce(fleet);
    await waitUntil(() =>
      fleet.every(({ network }) => network.connectedPeers.length === 2),
    );
    third.routers.leave();
    third.network.flush();
    await waitUntil(() => first.routers.get(third.id)?.phase === 'leaving');
    expect(first.routers.liveRouters(first.timers.now())).to.not.include(
      third.id,
    );
    await stop([second]);
    await waitUntil(
      () => first.routers.get(second.id)?.unreachableSince !== undefined,
    );
    await stop([first, third]);
  });

  it('detects a peer that went silent without closing its connection', async () => {
    const [first, second] = [await startRouter('r1'), await startRouter('r2')];
    const proxy = await silentProxy(second);
    announce([first, proxy.router]);
    await waitUntil(() => first.network.connectedPeers.length === 1);
    proxy.silence();
    await waitUntil(
      () => first.routers.get(second.id)?.unreachableSince !== undefined,
    );
    expect(first.network.connectedPeers).to.deep.equal([]);
    proxy.close();
    await stop([first, second]);
  });

  it('refuses connections without the secret of the fleet', async () => {
    const first = await startRouter('r1');
    const stranger = await startRouter('r2', 'guessed');
    announce([first, stranger]);
    await waitUntil(() => first.network.rejected > 0);
    await waitUntil(() => stranger.network.rejected > 0);
    expect(first.network.connectedPeers).to.deep.equal([]);
    const raw = new WebSocket(
      `ws://${HOST}:${first.bound.port}/?connectionParams=1`,
    );
    raw.on('open', () => {
      raw.send(Buffer.from([0xc1, 0xff, 0x00]));
      raw.send(Buffer.alloc(20_000));
    });
    await new Promise(resolve => raw.on('close', resolve));
    expect(first.network.connectedPeers).to.deep.equal([]);
    await stop([first, stranger]);
  });
});
