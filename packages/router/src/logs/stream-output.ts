/** Writes log lines to a pipe, a socket or a terminal, whose reader may stall, close or come back. */
import { LogOutput, MAX_BUFFERED_BYTES } from './log-output';

/** A stream of the process: a socket's can be kept from holding up the program. */
export type LogStream = NodeJS.WritableStream & {
  readonly writableLength: number;
  readonly unref?: () => unknown;
};

/** The callback of each write counts what an error loses. Without a listener it ends the process. */
const ignoreError = () => undefined;

export class StreamOutput extends LogOutput {
  readonly #stream: LogStream;

  constructor(stream: LogStream) {
    super();
    this.#stream = stream;
    if (!stream.listeners('error').includes(ignoreError)) {
      stream.on('error', ignoreError);
    }
  }

  override write(line: string): void {
    const size = Buffer.byteLength(line);
    if (this.#stream.writableLength + size > MAX_BUFFERED_BYTES) {
      this.countDropped();
      return;
    }
    this.#stream.write(line, error => {
      if (error) {
        this.countDropped();
      }
    });
  }

  protected override flush(): Promise<void> {
    return new Promise(resolve => {
      this.#stream.write('', () => {
        resolve();
      });
    });
  }

  protected override release(): void {
    this.#stream.unref?.();
  }
}
