/**
 * The network between the routers and one server. It passes on bytes, ends and resets, and can be
 * cut for a time, as by a partition that drops packets: TCP sends those again, so that what was
 * sent meanwhile arrives after the cut. It can also lose the packet with the end of a channel,
 * which then arrives when TCP has sent it again.
 */
import { connect, createServer } from 'node:net';
import { performance } from 'node:perf_hooks';

/** Silence after which a channel counts as idle. */
const IDLE_MS = 150;

export class Link {
  #server;
  #to;
  #isCut = false;
  #pairs = new Set();
  #lossMs = 0;
  lostEnds = 0;

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

  /** Loses the first packet with the end of an idle channel; it is sent again after a time in ms. */
  loseOneEnd(resentAfterMs) {
    this.#lossMs = resentAfterMs;
  }

  #accept(client) {
    const server = connect({ ...this.#to, allowHalfOpen: true });
    const pair = { held: [], lastByteAt: performance.now() };
    this.#pairs.add(pair);
    const pass = action => {
      if (this.#isCut) {
        pair.held.push(action);
      } else {
        action();
      }
    };
    const join = (from, to) => {
      from.on('data', bytes => {
        pair.lastByteAt = performance.now();
        pass(() => to.write(bytes));
      });
      from.on('end', () => {
        const isIdle = performance.now() - pair.lastByteAt >= IDLE_MS;
        if (from === server && isIdle && this.#lossMs > 0) {
          const delay = this.#lossMs;
          this.#lossMs = 0;
          this.lostEnds += 1;
          setTimeout(() => pass(() => to.end()), delay);
          return;
        }
        pass(() => to.end());
      });
      from.on('error', () => pass(() => to.resetAndDestroy()));
      from.on('close', () => {
        if (from === server) {
          this.#pairs.delete(pair.held.length > 0 ? undefined : pair);
        }
      });
    };
    join(client, server);
    join(server, client);
  }
}
