/** An address at which connection attempts hang, like that of a VM that lost its power. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { createInterface } from 'node:readline';

import type { Address } from '@sesamegrade/core/types/endpoint';

const HOST = '127.0.0.1';
/** Server that is suspended once it listens, so that it accepts nothing and its backlog fills up. */
const PROGRAM = `
const server = require('node:net').createServer();
server.listen({ host: '${HOST}', port: 0, backlog: 1 }, () => {
  console.log(server.address().port);
});
`;
/** Connections that fill the backlog of 1, with a margin. */
const FILLER_CONNECTIONS = 6;

export class SilentAddress {
  #program: ChildProcess | undefined;
  readonly #fillerSockets: Socket[] = [];

  async start(): Promise<Address> {
    const program = spawn(process.execPath, ['-e', PROGRAM], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#program = program;
    const lines = createInterface({ input: program.stdout });
    const [line] = (await once(lines, 'line')) as [string];
    program.kill('SIGSTOP');
    const address = { host: HOST, port: Number(line) };
    for (let count = 0; count < FILLER_CONNECTIONS; count += 1) {
      this.#fillerSockets.push(connect(address).on('error', () => undefined));
    }
    return address;
  }

  stop(): void {
    this.#fillerSockets.forEach(socket => socket.destroy());
    this.#program?.kill('SIGKILL');
  }
}
