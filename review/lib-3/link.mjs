/**
 * The network between the routers and one server. It passes on bytes, ends and resets, and can be
 * cut for a time, as by a partition that drops packets: TCP sends those again, so that what was
 * sent meanwhile arrives after the cut. A server can also drop an idle channel without
 * notice: the router hears nothing of it until it sends something there, which is reset.
 */
import { connect, createServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setInterval } from 'node:timers';

/** Silence after which a channel counts as idle. */
const IDLE_MS = 150;
const DROP_PERIOD_MS = 100;

export class Link {
  #server;
  #to;
  #isCut = false;
  #pairs = new Set();

  constructor(to) {
    this.#to = to;
  }

  listen(address) {
    return new Promise((resolve, reject) => {
      this.#server = createServer({ allowHalfOpen: true }, socket => {
        this.#accept(socket);
      });
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, resolve);
    });
  }

  /** Drops every channel without notice that has been idle for a time in ms. */
  dropIdleAfter(idleMs) {
    setInterval(() => {
      const now = performance.now();
      for (const pair of this.#pairs) {
        if (now - pair.lastByteAt >= idleMs) {
          pair.drop();
        }
      }
    }, DROP_PERIOD_MS).unref();
  }

  /** As the machine of a process that has ended does, refuses new channels. */
  refuse() {
    this.#server.close();
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    for (const pair of this.#pairs) {
      pair.held.splice(0).forEach(pass => pass());
    }
  }

  /** Drops the channel that has been idle for the shortest time; returns whether there is one. */
  dropIdle() {
    const now = performance.now();
    const idle = [...this.#pairs]
      .filter(pair => now - pair.lastByteAt >= IDLE_MS)
      .sort((left, right) => right.lastByteAt - left.lastByteAt);
    idle[0]?.drop();
    return idle.length > 0;
  }

  #accept(client) {
    const server = connect({ ...this.#to, allowHalfOpen: true });
    const pair = { held: [], lastByteAt: performance.now(), drop: undefined };
    let isDropped = false;
    pair.drop = () => {
      isDropped = true;
      this.#pairs.delete(pair);
      server.destroy();
    };
    this.#pairs.add(pair);
    const pass = action => {
      if (isDropped) {
        return;
      }
      if (this.#isCut) {
        pair.held.push(action);
      } else {
        action();
      }
    };
    const join = (from, to) => {
      from.on('data', bytes => {
        pair.lastByteAt = performance.now();
        if (isDropped) {
          client.resetAndDestroy();
        }
        pass(() => to.write(bytes));
      });
      from.on('end', () => pass(() => to.end()));
      from.on('error', () => pass(() => to.resetAndDestroy()));
    };
    join(client, server);
    join(server, client);
    server.on('close', () => {
      if (pair.held.length === 0) {
        this.#pairs.delete(pair);
      }
    });
  }
}
