/** Passes the lines of winston on to an output. */
import Transport from 'winston-transport';

import type { LogOutput } from './log-output';

/** Key of a line's formatted text, from winston. */
const MESSAGE = Symbol.for('message');

export class OutputTransport extends Transport {
  readonly #output: LogOutput;

  constructor(output: LogOutput) {
    super();
    this.#output = output;
  }

  override log(
    line: Readonly<Record<symbol, unknown>>,
    next: () => void,
  ): void {
    this.#output.write(`${String(line[MESSAGE])}\n`);
    next();
  }
}
