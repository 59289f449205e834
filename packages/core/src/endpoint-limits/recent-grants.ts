/** Exponentially decayed numbers of permits by team. */
import type { TeamId } from '../types/ids';
import { elapsed, seconds } from '../types/units';
import type { Instant } from '../types/units';

const TIME_CONSTANT = seconds(5);
/** Count below which a team is forgotten. */
const NEGLIGIBLE_COUNT = 0.01;

export class RecentGrants {
  readonly #rows = new Map<TeamId, { count: number; at: Instant }>();

  record(team: TeamId, now: Instant): void {
    this.#rows.set(team, { count: this.count(team, now) + 1, at: now });
  }

  count(team: TeamId, now: Instant): number {
    const row = this.#rows.get(team);
    if (!row) {
      return 0;
    }
    const age = elapsed(row.at, now);
    const count = row.count * Math.exp(-(age / TIME_CONSTANT));
    if (count < NEGLIGIBLE_COUNT) {
      this.#rows.delete(team);
    }
    return count;
  }
}
