/** Registers VMs in the VM list of the stand-in platform. */
import { request } from 'undici';

import type { VmEntry } from '@sesamegrade/core/types/platform';

/** Client of the platform's control interface for its VM list. */
export class Registration {
  readonly #platform: string;

  /** @param platform base URL of the stand-in platform */
  constructor(platform: string) {
    this.#platform = platform;
  }

  /** Adds the VM or replaces its entry. */
  async register(entry: VmEntry): Promise<void> {
    await this.#post({ action: 'register', entry });
  }

  /** Marks the VM as leaving. */
  async leave(vm: string): Promise<void> {
    await this.#post({ action: 'leave', vm });
  }

  /** Removes the VM from the list. */
  async remove(vm: string): Promise<void> {
    await this.#post({ action: 'remove', vm });
  }

  async #post(body: unknown): Promise<void> {
    const response = await request(`${this.#platform}/control/vms`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await response.body.dump();
    if (response.statusCode !== 200) {
      throw new Error(
        `the platform responded to the VM registration with status ${response.statusCode}`,
      );
    }
  }
}
