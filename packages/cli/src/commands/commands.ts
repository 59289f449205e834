import type { Command } from './command';

/** Every command, in the order in which the help lists them. */
export function commands(): Command[] {
  return [];
}
