/** Faults that a TCP proxy injects into the connections between two processes. */
import { z } from 'zod';

export const DIRECTIONS = ['to-target', 'to-client'] as const;
export type Direction = (typeof DIRECTIONS)[number];

export const proxyFaultSchema = z.strictObject({
  /** Delay of every chunk in each direction, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Buffers all bytes, or those of one direction, until the fault is cleared. */
  stall: z.union([z.boolean(), z.enum(DIRECTIONS)]).default(false),
  /** Resets every open connection once, when the fault is set. */
  reset: z.boolean().default(false),
  /** Resets a connection after this many bytes to the client; null for never. */
  cutAfterBytes: z.number().int().nonnegative().nullable().default(null),
  /** Discards the bytes of one direction. */
  drop: z.enum(['none', ...DIRECTIONS]).default('none'),
  /** Resets new connections. */
  refuse: z.boolean().default(false),
});

export type ProxyFault = z.infer<typeof proxyFaultSchema>;

export const NO_FAULT: ProxyFault = proxyFaultSchema.parse({});

export function isStalled(
  { stall }: Pick<ProxyFault, 'stall'>,
  direction: Direction,
): boolean {
  return stall === true || stall === direction;
}
