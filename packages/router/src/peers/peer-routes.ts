/** tRPC procedures that routers offer to each other. */
import { initTRPC } from '@trpc/server';

import type { PeerFeed } from './peer-feed';
import type { AuthenticatedPeer } from './peer-proof';

/** Context of an authenticated connection, available to every procedure. */
export interface PeerContext {
  readonly peer: AuthenticatedPeer;
  /** Closes the connection at once. */
  readonly terminate: () => void;
  /** Number of bytes that are buffered because the peer has not read them yet. */
  readonly unsent: () => number;
}

/** The functions of the router that the procedures call. */
export interface PeerHost {
  openFeed(context: PeerContext): PeerFeed;
  closeFeed(context: PeerContext, feed: PeerFeed): void;
  /** Answers a query for a permit; undefined if it is malformed. */
  permit(context: PeerContext, query: unknown): Promise<unknown>;
  /** Takes a permit back. */
  releasePermit(permit: unknown): void;
  /** Where a stream began as of a read of the store; undefined if it does not answer. */
  origin(query: unknown): Promise<unknown>;
  /** Records the origins of streams; resolves with whether the store has taken them. */
  record(message: unknown): Promise<unknown>;
  /** Keeps the origins of streams that the peer relays; resolves with whether it does. */
  keepOrigins(message: unknown): boolean;
  /** The complete configuration, in the form that the receiver's replica accepts. */
  snapshot(): unknown;
}

/** Builds the procedures: a subscription to gossip, the complete configuration, origins of streams and permits. */
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
    // The host checks the messages, as it knows their schemas.
    origin: trpc.procedure
      .input((query: unknown) => query)
      .query(({ input }) => host.origin(input)),
    record: trpc.procedure
      .input((message: unknown) => message)
      .mutation(({ input }) => host.record(input)),
    keepOrigins: trpc.procedure
      .input((message: unknown) => message)
      .mutation(({ input }) => host.keepOrigins(input)),
    permit: trpc.procedure
      .input((query: unknown) => query)
      .mutation(({ ctx, input }) => host.permit(ctx, input)),
    releasePermit: trpc.procedure
      .input((permit: unknown) => permit)
      .mutation(({ input }) => {
        host.releasePermit(input);
      }),
  });
}

export type PeerRoutes = ReturnType<typeof peerRoutes>;
