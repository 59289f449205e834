/**
 * Estimates what a router does not see of a service, as it learns of other routers' requests
 * late: how many of those that it sees still run, and how many have begun since.
 */

export interface UnseenRequests {
  /** Fraction, in 0..1, of the others' requests seen at an endpoint that still run. */
  readonly persistence: number;
  /** Requests of other routers that have begun unseen and still run. */
  readonly running: number;
}

export const NO_UNSEEN_REQUESTS: UnseenRequests = {
  persistence: 1,
  running: 0,
};

/**
 * `begun` is the number of requests that other routers begin before this one learns of them,
 * and `seen` that of their requests which it sees at the service. By Little's law the
 * quotient is the age of the view in units of the time for which a request runs.
 */
export function estimateUnseen(begun: number, seen: number): UnseenRequests {
  const load = Math.max(1, begun, seen);
  const persistence = Math.exp(-begun / load);
  return { persistence, running: load * (1 - persistence) };
}
