/** An address at which connections hang, as at a VM that lost its power. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { createInterface } from 'node:readline';

import type { Address } from '@sesamegrade/core/types/endpoint';

const HOST = '127.0.0.1';
/** A stopped program accepts nothing, so that its backlog fills up. */
const PROGRAM = `
const server = require('node:net').createServer();
server.listen({ host: '${HOST}', port: 0, backlog: 1 }, () => {
  console.log(server.address().port);
});
`;
/** Connections that fill the backlog of one, with room to spare. */
const FILLERS = 6;

export class SilentAddress {
  #program: ChildProcess | undefined;
  readonly #fillers: Socket[] = [];

  async start(): Promise<Address> {
    const program = spawn(process.execPath, ['-e', PROGRAM], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#program = program;
    const lines = createInterface({ input: program.stdout });
    const [line] = (await once(lines, 'line')) as [string];
    program.kill('SIGSTOP');
    const address = { host: HOST, port: Number(line) };
    for (let count = 0; count < FILLERS; count += 1) {
      this.#fillers.push(connect(address).on('error', () => undefined));
    }
    return address;
  }

  stop(): void {
    this.#fillers.forEach(socket => socket.destroy());
    this.#program?.kill('SIGKILL');
  }
}
