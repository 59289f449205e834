/** The procedures that routers offer each other. */
import { initTRPC } from '@trpc/server';

import type { PeerFeed } from './peer-feed';
import type { AuthenticatedPeer } from './peer-proof';

/** What a connection is known to be before any procedure runs. */
export interface PeerContext {
  readonly peer: AuthenticatedPeer;
  /** Closes the connection at once. */
  readonly terminate: () => void;
  /** Bytes that wait for the peer to read. */
  readonly unsent: () => number;
}

/** What the procedures need of the router. */
export interface PeerHost {
  openFeed(context: PeerContext): PeerFeed;
  closeFeed(context: PeerContext, feed: PeerFeed): void;
  /** The whole configuration, as its receiver understands it. */
  snapshot(): unknown;
}

/** Builds the procedures: a feed of gossip and the whole configuration. */
export function peerRoutes(host: PeerHost) {
  const trpc = initTRPC.context<PeerContext>().create();
  return trpc.router({
    feed: trpc.procedure.subscription(async function* ({ ctx, signal }) {
      const feed = host.openFeed(ctx);
      try {
        yield* feed.read(signal ?? new AbortController().signal);
      } finally {
        host.closeFeed(ctx, feed);
      }
    }),
    configuration: trpc.procedure.query(() => host.snapshot()),
  });
}

export type PeerRoutes = ReturnType<typeof peerRoutes>;
