/** Selects the headers of a caller's request that are forwarded to a plain service. */
import type { IncomingMessage } from 'node:http';

import type { TeamId } from '@sesamegrade/core/types/ids';

/** Hop-by-hop headers, the caller's key, and headers that the router sets or reads itself. */
const NOT_FORWARDED = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-chat-place',
  'x-request-id',
  'x-team',
]);

/** Returns the headers to forward, and the team as `X-Team`. */
export function forwardedHeaders(
  message: IncomingMessage,
  team: TeamId,
): Record<string, string> {
  const forwarded: Record<string, string> = { 'x-team': team };
  const connectionHeaders = new Set(
    (message.headers.connection ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  for (const [name, value] of Object.entries(message.headers)) {
    if (
      value === undefined ||
      NOT_FORWARDED.has(name) ||
      connectionHeaders.has(name)
    ) {
      continue;
    }
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}
