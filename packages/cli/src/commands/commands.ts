import type { Command } from './command';
import { MeasurePoliciesCommand } from './measure-policies';
import { StandInCommand } from './stand-in';

/** Every command, in the order in which the help lists them. */
export function commands(): Command[] {
  return [new StandInCommand(), new MeasurePoliciesCommand()];
}
