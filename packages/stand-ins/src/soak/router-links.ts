/** Proxies on the connections of routers to the store and to each other, which can be cut silently. */
import { join } from 'node:path';

import { parseAddress } from '@sesamegrade/core/types/address';
import type { RouterProcess } from '../deployment/router-process';
import { FaultProxy } from '../fault-proxy/fault-proxy';
import type { ProxyFault } from '../fault-proxy/proxy-fault';
import type { LinkCut } from './contact-loss';

/** Node.js flags with which a router connects to the proxies before its peers. */
export const REDIRECTION_FLAGS = [
  '--require',
  join(import.meta.dirname, 'redirect-connections.cjs'),
];

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

interface PeerLinkProxy {
  readonly from: string;
  readonly to: string;
  /** Port of the router that the connection leads to. */
  readonly port: string;
  readonly proxyPort: number;
  readonly proxy: FaultProxy;
}

export class RouterLinks {
  readonly #storeProxies = new Map<string, FaultProxy>();
  readonly #peerProxies: PeerLinkProxy[] = [];
  readonly #cuts = new Map<string, LinkCut>();
  readonly #unreachable = new Map<string, readonly string[]>();

  /** Places a proxy between a router and the store, and returns its address. */
  async openStoreLink(router: string, store: string): Promise<string> {
    const { proxy, port } = await openProxy(store);
    this.#storeProxies.set(router, proxy);
    return `127.0.0.1:${port}`;
  }

  /** Places proxies between routers whose ports are reserved. */
  async openPeerLinks(routers: readonly RouterProcess[]): Promise<void> {
    for (const from of routers) {
      for (const to of routers.filter(other => other !== from)) {
        const { proxy, port: proxyPort } = await openProxy(to.peerAddress);
        const port = portOf(to.peerAddress);
        const names = { from: from.name, to: to.name };
        this.#peerProxies.push({ ...names, port, proxyPort, proxy });
      }
    }
  }

  /** Lets a router reach addresses only through its peers. */
  refuseDirect(router: string, addresses: readonly string[]): void {
    this.#unreachable.set(router, addresses);
  }

  /** Environment that tells a router's process where its connections lead instead. */
  environmentOf(router: string): Record<string, string> {
    const unreachable = this.#unreachable.get(router) ?? [];
    const ports = this.#peerProxies
      .filter(({ from }) => from === router)
      .map(({ port, proxyPort }) => [port, proxyPort] as const)
      .concat(unreachable.map(address => [portOf(address), CLOSED_PORT]));
    return { REDIRECTED_PORTS: JSON.stringify(Object.fromEntries(ports)) };
  }

  cut(router: string, cut: LinkCut): void {
    this.#cuts.set(router, cut);
    this.#apply();
  }

  heal(router: string): void {
    this.#cuts.delete(router);
    this.#apply();
  }

  async close(): Promise<void> {
    const proxies = [
      ...this.#storeProxies.values(),
      ...this.#peerProxies.map(({ proxy }) => proxy),
    ];
    await Promise.all(proxies.map(proxy => proxy.stop()));
  }

  #apply(): void {
    for (const [router, proxy] of this.#storeProxies) {
      const cut = this.#cuts.get(router);
      proxy.setFault({ stall: stallOf(cut?.store ? cut : undefined) });
    }
    for (const { from, to, proxy } of this.#peerProxies) {
      const [source, target] = [this.#cuts.get(from), this.#cuts.get(to)];
      const stall = stallOf(
        source?.peers ? source : undefined,
        target?.peers ? target : undefined,
      );
      proxy.setFault({ stall });
    }
  }
}

/** Which bytes a proxy holds back if those at either end of its connections are cut off. */
export function stallOf(
  source: LinkCut | undefined,
  target?: LinkCut,
): ProxyFault['stall'] {
  const holds = (cut: LinkCut | undefined, direction: 'in' | 'out') =>
    cut !== undefined && cut.direction !== direction;
  const toTarget = holds(source, 'in') || holds(target, 'out');
  const toClient = holds(source, 'out') || holds(target, 'in');
  if (toTarget && toClient) {
    return true;
  }
  if (toTarget) {
    return 'to-target';
  }
  return toClient ? 'to-client' : false;
}

const portOf = (address: string) => address.split(':').at(-1) ?? '';

async function openProxy(
  address: string,
): Promise<{ readonly proxy: FaultProxy; readonly port: number }> {
  const target = parseAddress(address);
  if (!target) {
    throw new Error(`no address: ${address}`);
  }
  const proxy = new FaultProxy({ target });
  const { port } = await proxy.start();
  return { proxy, port };
}
