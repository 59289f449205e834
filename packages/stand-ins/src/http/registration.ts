/** Tells the stand-in platform which VM a stand-in is. */
import { request } from 'undici';

import type { VmEntry } from '@sesamegrade/core/types/platform';

/** Registers one VM at the platform's control interface. */
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

  /** Lists the VM as leaving. */
  async leave(vm: string): Promise<void> {
    await this.#post({ action: 'leave', vm });
  }

  /** Takes the VM off the list. */
  async remove(vm: string): Promise<void> {
    await this.#post({ action: 'remove', vm });
  }

  async #post(body: unknown): Promise<void> {
    const answer = await request(`${this.#platform}/control/vms`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) {
      throw new Error(`the platform answered ${answer.statusCode}`);
    }
  }
}
