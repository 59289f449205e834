import { LoopbackRouterLauncher } from '../launch/loopback-router-launcher';
import { CheckCommand } from './check';
import type { Command } from './command';
import { DemoCommand } from './demo';
import { LoadCommand } from './load';
import { MeasureCommand } from './measure';
import { MeasureGossipCommand } from './measure-gossip';
import { MeasurePoliciesCommand } from './measure-policies';
import { RouterCommand } from './router';
import { StandInCommand } from './stand-in';

/** Every command, in the order in which the help lists them. */
export function commands(): Command[] {
  return [
    new RouterCommand(),
    new CheckCommand(),
    new DemoCommand(new LoopbackRouterLauncher()),
    new LoadCommand(),
    new StandInCommand(),
    new MeasureCommand(),
    new MeasureGossipCommand(),
    new MeasurePoliciesCommand(),
  ];
}
