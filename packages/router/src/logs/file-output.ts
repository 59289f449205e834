/** Writes log lines to a file in the background, so that a slow or full disk holds up no request. */
import SonicBoom from 'sonic-boom';

import { LogOutput, MAX_BUFFERED_BYTES } from './log-output';

export class FileOutput extends LogOutput {
  readonly #file: SonicBoom;

  /** Takes the descriptor of an open file. */
  constructor(fd: number) {
    super();
    this.#file = new SonicBoom({
      fd,
      sync: false,
      maxLength: MAX_BUFFERED_BYTES,
    });
    this.#file.on('drop', () => {
      this.countDropped();
    });
    // What a failed write has left is written with the next line.
    this.#file.on('error', () => undefined);
  }

  override write(line: string): void {
    this.#file.write(line);
  }

  protected override flush(): Promise<void> {
    return new Promise(resolve => {
      this.#file.flush(() => {
        resolve();
      });
    });
  }
}
