/** Limits of what one client, and all of them together, may cost a server of the router. */

/** The limits of a server's connections. */
export interface ConnectionBounds {
  readonly connections: number;
  readonly connectionsPerAddress: number;
  /** Requests of one connection that are served at once. */
  readonly pipelinedRequests: number;
  /** Requests, of all connections, that are served beside an earlier one of their connection. */
  readonly pipelinedTotal: number;
  /** Bytes of unread responses above which a connection gets no further request served. */
  readonly unreadBytes: number;
}

/** A limit that a client has reached, as named in the log and the metrics. */
export type ReachedLimit =
  | 'connections'
  | 'connections-per-address'
  | 'pipelined-requests'
  | 'unread-responses'
  | 'incomplete-bodies'
  | 'body-time';

/** Told of each limit that is reached, and of the client's address. */
export type LimitListener = (
  limit: ReachedLimit,
  address: string | undefined,
) => void;
