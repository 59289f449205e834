/** The platform's list of VMs, which shows every change after a lag. */
import type { VmEntry } from '@sesamegrade/core/types/platform';
import { addTime } from '@sesamegrade/core/types/units';
import type { Instant, Milliseconds } from '@sesamegrade/core/types/units';

export type VmChange =
  | { readonly action: 'register'; readonly entry: VmEntry }
  | { readonly action: 'leave'; readonly vm: string }
  | { readonly action: 'remove'; readonly vm: string };

interface PendingChange {
  readonly visibleAt: Instant;
  readonly change: VmChange;
}

function applyTo(entries: Map<string, VmEntry>, change: VmChange): void {
  switch (change.action) {
    case 'register':
      entries.set(change.entry.vm, change.entry);
      break;
    case 'leave': {
      const entry = entries.get(change.vm);
      if (entry) {
        entries.set(change.vm, { ...entry, state: 'leaving' });
      }
      break;
    }
    case 'remove':
      entries.delete(change.vm);
      break;
  }
}

export class VmDirectory {
  /** The list with the lag. */
  readonly #published = new Map<string, VmEntry>();
  /** The list without the lag. */
  readonly #current = new Map<string, VmEntry>();
  readonly #pending: PendingChange[] = [];
  lag: Milliseconds;

  constructor(lag: Milliseconds) {
    this.lag = lag;
  }

  apply(change: VmChange, now: Instant): void {
    applyTo(this.#current, change);
    this.#pending.push({ visibleAt: addTime(now, this.lag), change });
  }

  /** Returns the list that the platform shows at a time. */
  list(now: Instant): VmEntry[] {
    for (
      let first = this.#pending[0];
      first !== undefined && first.visibleAt <= now;
      first = this.#pending[0]
    ) {
      applyTo(this.#published, first.change);
      this.#pending.shift();
    }
    return [...this.#published.values()];
  }

  /** Returns the list with all changes, for tests and reports. */
  listWithoutLag(): VmEntry[] {
    return [...this.#current.values()];
  }
}
