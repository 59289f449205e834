/** Finds requests that the planned stop of a router lost; knows nothing of how the router decides. */
import type { RequestTrace, StopPlan } from './stopping-router';

/** Time within which a request that was not passed on may end with its connection. */
const MAX_UNANSWERED_MS = 200;
/** Share of the grace period at whose end a request may be given up whose endpoint is at work. */
const LAST_SHARE = 1 / 6;
/** Time from the signal within which such a request was sent. */
const MAX_SENT_MS = 3000;

/** Returns what was lost, for each request in one line; times are relative to the signal. */
export function lostRequests(
  { signals: [signalAt = 0], grace }: StopPlan,
  traces: readonly RequestTrace[],
): string[] {
  return traces
    .filter(trace => isLost(trace, signalAt, grace))
    .map(({ request, readAt, passedOnAt, endedAt, ending }) => {
      const since = (at: number | undefined) =>
        at === undefined ? 'never' : `${Math.round(at - signalAt)} ms`;
      return [
        `${request.kind} of ${request.work} ms of work sent ${since(request.sentAt)}`,
        `read ${since(readAt)}`,
        `passed on ${since(passedOnAt)}`,
        `${ending} ${since(endedAt)} of ${grace} ms`,
      ].join(', ');
    });
}

function isLost(
  { request, readAt, passedOnAt, endedAt, ending }: RequestTrace,
  signalAt: number,
  grace: number,
): boolean {
  const { sentAt, deadline, routeTimeout, work } = request;
  if (ending === 'answered' || readAt === undefined) {
    return false;
  }
  if (passedOnAt === undefined) {
    return endedAt - sentAt > MAX_UNANSWERED_MS;
  }
  if (endedAt - sentAt >= Math.min(deadline, routeTimeout)) {
    return false;
  }
  const workedUntil = Math.min(passedOnAt + work, endedAt);
  const wasAtWork = workedUntil >= signalAt + grace * (1 - LAST_SHARE);
  return !wasAtWork || sentAt > signalAt + MAX_SENT_MS;
}
