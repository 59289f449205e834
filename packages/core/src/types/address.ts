/** Validation and formatting of IP addresses with a port that come from outside the process. */
import { z } from 'zod';

import type { Address } from './endpoint';

const MAX_PORT = 65_535;
/** An IPv6 address stands in brackets. */
const HOST_AND_PORT = /^(?:\[([^\]]*)\]|([^:]*)):(\d{1,5})$/u;

/** An IP address; names are not resolved. */
export const hostSchema = z.union([z.ipv4(), z.ipv6()]);
export const portSchema = z.int().min(1).max(MAX_PORT);

/** Parses `IP:PORT`; returns undefined for any other text. Port 0 is allowed. */
export function parseAddress(text: string): Address | undefined {
  const [, bracketed, plain, digits] = HOST_AND_PORT.exec(text) ?? [];
  const port = Number(digits);
  const isHost =
    bracketed === undefined
      ? z.ipv4().safeParse(plain).success
      : z.ipv6().safeParse(bracketed).success;
  return isHost && port <= MAX_PORT
    ? { host: bracketed ?? plain ?? '', port }
    : undefined;
}

/** Returns the address as it stands in a URL. */
export function formatAddress({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
