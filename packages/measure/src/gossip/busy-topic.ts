import { GossipTopic } from '@sesamegrade/core/gossip/gossip-topic';
import type { RouterId } from '@sesamegrade/core/types/ids';
import type { Bytes } from '@sesamegrade/core/types/units';

/** Placeholder for the load counts in each message to a peer. */
const LOAD_ENTRY = 'x'.repeat(80);

/** Stands in for the topic of load counts: always has an entry to send to each peer. */
export class BusyTopic extends GossipTopic {
  override readonly name = 'loads';
  override readonly rank = 1;

  override take(_peer: RouterId, budget: Bytes): readonly unknown[] {
    return budget > LOAD_ENTRY.length + 4 ? [LOAD_ENTRY] : [];
  }

  override receive(): number {
    return 0;
  }

  override forget(): void {
    // The topic has no state.
  }
}
