/** The link of one machine to the store: passes bytes on, and may hold back one answer. */
import { connect, createServer } from 'node:net';

export class StoreLink {
  #server;
  #sockets = new Set();
  #held;

  constructor(store) {
    const [host, port] = store.split(':');
    this.target = { host, port: Number(port) };
  }

  async start() {
    this.#server = createServer({ noDelay: true }, client => {
      this.#join(client);
    });
    await new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
    return this;
  }

  /**
   * Holds the next answer to a call back by `delayMs`, as lost packets do. `onAnswer` is called when
   * the store has answered.
   */
  holdAnswer(path, delayMs, onAnswer) {
    this.#held = { path, delayMs, onAnswer };
  }

  stop() {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #join(client) {
    const store = connect({ ...this.target, noDelay: true });
    let hold;
    let queue = Promise.resolve();
    for (const socket of [client, store]) {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => {
        this.#sockets.delete(socket);
        client.destroy();
        store.destroy();
      });
    }
    client.on('data', bytes => {
      if (this.#held && String(bytes).includes(this.#held.path)) {
        hold = this.#held;
        this.#held = undefined;
      }
      store.write(bytes);
    });
    store.on('data', bytes => {
      if (hold) {
        const { delayMs, onAnswer } = hold;
        hold = undefined;
        onAnswer();
        queue = queue.then(
          () =>
            new Promise(resolve => {
              setTimeout(resolve, delayMs);
            }),
        );
      }
      queue = queue.then(() => {
        client.write(bytes);
      });
    });
  }
}
