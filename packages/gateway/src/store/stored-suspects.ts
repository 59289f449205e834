/**
 * Stores condemned content in rows of the routers' own table, so that it outlives the
 * restart of every router. The list of routers is read at each start in any case.
 */
import { z } from 'zod';

import { rendezvousWeight } from '@sesamegrade/core/hashing/rendezvous';
import type {
  RelayedSuspects,
  SuspectChange,
} from '@sesamegrade/core/poison/relayed-suspects';
import type { BackgroundTasks } from '@sesamegrade/core/tasks/background-tasks';
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Fingerprint } from '@sesamegrade/core/types/ids';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { DecisionLog } from '../logs/decision-log';
import type { FeedRow } from './feed-source';
import { parseJsonRow } from './json-row';
import type { RowTable } from './row-table';

const KEY_PREFIX = 'crash-suspect-';
/** Rows that are used; a content whose row another one takes is no longer stored. */
const ROWS = 64;
const KEY_HASH = 'row';
/** Time until a failed write is repeated; it doubles with each failure. */
const FIRST_RETRY_DELAY: Milliseconds = seconds(1);
const MAX_RETRY_DELAY: Milliseconds = seconds(16);

/** An entry as peers receive it, and the Unix milliseconds at which it was written. */
const rowSchema = z.object({ writtenAt: z.number(), entry: z.unknown() });

export interface StoredSuspectsOptions {
  readonly routerRows: RowTable;
  readonly suspects: RelayedSuspects;
  readonly timers: TimerService;
  readonly backgroundTasks: BackgroundTasks;
  readonly log: DecisionLog;
}

export class StoredSuspects {
  readonly #options: StoredSuspectsOptions;
  readonly #pending = new Set<Fingerprint>();
  #isWriting = false;

  constructor(options: StoredSuspectsOptions) {
    this.#options = options;
  }

  /** Takes the suspects among the rows of the table. */
  onRows(rows: readonly FeedRow[]): void {
    const { suspects, timers, log } = this.#options;
    const now = timers.now();
    for (const { key, value } of rows) {
      const row =
        key.startsWith(KEY_PREFIX) && value && parseJsonRow(rowSchema, value);
      if (!row) {
        continue;
      }
      const age = Math.max(0, timers.wallTime() - row.writtenAt);
      const malformed = suspects.receive([row.entry], false, now, age);
      if (malformed > 0) {
        log.write('stored-suspect-malformed', { key });
      }
    }
  }

  /** Stores the row of a content that is or was condemned. */
  onChanged(change: SuspectChange): void {
    if (change.kind !== 'row') {
      return;
    }
    const { id, wasCondemned } = change;
    if (wasCondemned || this.#options.suspects.suspicion(id) === 'condemned') {
      this.#pending.add(id);
      this.#options.backgroundTasks.run('suspect-write', () =>
        this.#writePending(),
      );
    }
  }

  /** Writes one row after the other. */
  async #writePending(): Promise<void> {
    if (this.#isWriting) {
      return;
    }
    this.#isWriting = true;
    for (const id of this.#pending) {
      this.#pending.delete(id);
      await this.#write(id);
    }
    this.#isWriting = false;
  }

  async #write(id: Fingerprint): Promise<void> {
    const { routerRows, suspects, timers, log } = this.#options;
    const key = `${KEY_PREFIX}${rendezvousWeight(id, KEY_HASH) % ROWS}`;
    let delay = FIRST_RETRY_DELAY;
    for (;;) {
      const entry = suspects.entry(id, timers.now());
      if (!entry) {
        return;
      }
      const row = JSON.stringify({ writtenAt: timers.wallTime(), entry });
      const written = await routerRows.put(key, new TextEncoder().encode(row));
      if (written.ok) {
        return;
      }
      log.write('suspect-not-stored', { key, failure: written.failure });
      const retryDelay = delay;
      await new Promise<void>(resolve => {
        timers.after(retryDelay, () => {
          resolve();
        });
      });
      delay = milliseconds(Math.min(MAX_RETRY_DELAY, delay * 2));
    }
  }
}
