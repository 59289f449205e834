/** Runs a server in a process of its own, so that it can be stopped and continued. */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('stream-server.mjs', import.meta.url));

export class ServerProcess {
  #child;
  runs = [];

  /** `options` are passed on to stream-server.mjs. */
  constructor(options, record) {
    this.options = options;
    this.record = record;
  }

  async start() {
    this.#child = fork(PROGRAM, [JSON.stringify(this.options)]);
    const [message] = await once(this.#child, 'message');
    this.entry = message.entry;
    const [host, port] = message.entry.address.split(':');
    this.target = { host, port: Number(port) };
    this.#child.on('message', ({ record, run }) => {
      if (record) {
        this.record(record);
      }
      if (run) {
        this.runs.push(run);
      }
    });
    return this;
  }

  signal(name) {
    this.#child.kill(name);
  }

  stop() {
    this.#child.kill('SIGKILL');
  }
}
