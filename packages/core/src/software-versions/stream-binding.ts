/** Restricts the endpoints of a stream to the software version that began it. */
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import type { SoftwareVersion } from '../types/ids';

export class StreamBinding {
  #isBound = false;
  #version: SoftwareVersion | undefined;

  /** Whether the stream has begun. */
  get isBound(): boolean {
    return this.#isBound;
  }

  get version(): SoftwareVersion | undefined {
    return this.#version;
  }

  /** Records where the stream began; only the first call counts. */
  bind(version: SoftwareVersion | undefined): void {
    if (!this.#isBound) {
      this.#isBound = true;
      this.#version = version;
    }
  }

  /** Records that it is not certain which version sent the events. */
  revoke(): void {
    this.#isBound = true;
    this.#version = undefined;
  }

  /** Whether an endpoint can continue the stream; none can if its version is not known. */
  accepts(entry: EndpointEntry): boolean {
    return (
      !this.#isBound ||
      (this.#version !== undefined && entry.softwareVersion === this.#version)
    );
  }
}
