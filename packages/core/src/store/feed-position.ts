/** Position in the history of the platform's store. */
import type { Branded } from '../types/brand';

/** Number of a change of the store; given out again after a restore. */
export type Revision = Branded<number, 'Revision'>;

/** Number of restores of the store from an older copy; revisions compare only within one era. */
export type StoreEra = Branded<number, 'StoreEra'>;

export const revision = (value: number) => value as Revision;
export const storeEra = (value: number) => value as StoreEra;

/** Era of a store that names none. */
export const FIRST_ERA = storeEra(0);

export interface FeedPosition {
  readonly era: StoreEra;
  /** All changes up to this one are known. */
  readonly revision: Revision;
}

/** Compares two positions; negative if the left one is earlier. */
export function comparePositions(
  left: FeedPosition,
  right: FeedPosition,
): number {
  return left.era - right.era || left.revision - right.revision;
}
