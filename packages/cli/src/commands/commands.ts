import type { Command } from './command';
import { LoadCommand } from './load';
import { StandInCommand } from './stand-in';

/** Every command, in the order in which the help lists them. */
export function commands(): Command[] {
  return [new LoadCommand(), new StandInCommand()];
}
