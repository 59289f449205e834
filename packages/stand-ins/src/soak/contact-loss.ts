/** Losses of contact between a router and the others or the store, and the releases that follow them. */
import type { Random } from '@sesamegrade/core/random/random';

/** Which bytes of the router are held back. */
export type LossDirection = 'in' | 'out' | 'both';

/** Connections of a router whose bytes are held back. */
export interface LinkCut {
  readonly store: boolean;
  readonly peers: boolean;
  readonly direction: LossDirection;
}

/** One loss of contact; times in milliseconds. */
export interface ContactLoss {
  /** Undefined if the process is stopped instead. */
  readonly cut: LinkCut | undefined;
  readonly lengthMs: number;
  /** Links that come back later than the others, and how much later. */
  readonly lateLinks: 'store' | 'peers';
  readonly lateMs: number;
  /** From the begin of the loss to the first endpoint of a newer version. */
  readonly releaseAfterMs: number;
  /** From that to the crash of endpoints. */
  readonly crashAfterMs: number;
}

const LENGTH_MS = { min: 500, max: 3000 };
const MAX_LATE_MS = 1000;
const RELEASE_AFTER_MS = { min: 300, max: 1000 };
const CRASH_AFTER_MS = { min: 1000, max: 2000 };
const KINDS = [
  'stop',
  'store',
  'peers',
  'store and peers',
  'store and peers',
] as const;
const DIRECTIONS = ['in', 'out', 'both', 'both'] as const;

export function planContactLoss(random: Random): ContactLoss {
  const kind = random.pick(KINDS);
  const direction = random.pick(DIRECTIONS);
  const cut =
    kind === 'stop'
      ? undefined
      : { store: kind !== 'peers', peers: kind !== 'store', direction };
  return {
    cut,
    lengthMs: random.integer(LENGTH_MS.min, LENGTH_MS.max),
    lateLinks: random.pick(['store', 'peers'] as const),
    lateMs: random.integer(0, MAX_LATE_MS),
    releaseAfterMs: random.integer(RELEASE_AFTER_MS.min, RELEASE_AFTER_MS.max),
    crashAfterMs: random.integer(CRASH_AFTER_MS.min, CRASH_AFTER_MS.max),
  };
}

export function describeContactLoss({
  cut,
  lengthMs,
  lateLinks,
  lateMs,
}: ContactLoss): string {
  const links = [cut?.store && 'store', cut?.peers && 'peers'].filter(Boolean);
  const kind = cut ? `cut ${links.join('+')} ${cut.direction}` : 'stop';
  const late = cut ? `, ${lateLinks} ${lateMs} ms later` : '';
  return `${kind} ${lengthMs} ms${late}`;
}
