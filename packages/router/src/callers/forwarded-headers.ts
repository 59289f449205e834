/** Which of a caller's headers go on to a plain service. */
import type { IncomingMessage } from 'node:http';

import type { TeamId } from '@sesamegrade/core/types/ids';

/** Headers of one connection, the caller's key, and headers that routers own. */
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

/** Returns the headers to forward, with the team in `X-Team`. */
export function forwardedHeaders(
  message: IncomingMessage,
  team: TeamId,
): Record<string, string> {
  const forwarded: Record<string, string> = { 'x-team': team };
  const named = new Set(
    (message.headers.connection ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  for (const [name, value] of Object.entries(message.headers)) {
    if (value === undefined || NOT_FORWARDED.has(name) || named.has(name)) {
      continue;
    }
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return forwarded;
}
