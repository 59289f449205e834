import { LoopbackRouterLauncher } from '../launch/loopback-router-launcher';
import { openDeploymentCodec } from '../deployment-codec';
import { CheckCommand } from './check';
import { CheckConfigurationCommand } from './check-configuration';
import type { Command } from './command';
import { DefaultsCommand } from './defaults';
import { DemoCommand } from './demo';
import { ExceptionsCommand } from './exceptions';
import { ExplainCommand } from './explain';
import { FaultsCommand } from './faults';
import { LoadCommand } from './load';
import { MeasureEventsCommand } from './measure-events';
import { MeasureCommand } from './measure';
import { MeasureGossipCommand } from './measure-gossip';
import { MeasureLateLoadsCommand } from './measure-late-loads';
import { MeasureLimitsCommand } from './measure-limits';
import { MeasureLoadExchangeCommand } from './measure-load-exchange';
import { MeasureOrdersCommand } from './measure-orders';
import { MeasurePeersCommand } from './measure-peers';
import { MeasurePoliciesCommand } from './measure-policies';
import { MeasureRelayCommand } from './measure-relay';
import { RouterCommand } from './router';
import { SlopesCommand } from './slopes';
import { StandInCommand } from './stand-in';
import { StatusCommand } from './status';
import { TimelineCommand } from './timeline';

/** Creates every command, in the order of the help text. */
export function createCommands(): Command[] {
  return [
    new RouterCommand(),
    new CheckCommand(),
    new CheckConfigurationCommand(openDeploymentCodec()),
    new DemoCommand(new LoopbackRouterLauncher()),
    new StatusCommand(),
    new DefaultsCommand(),
    new ExceptionsCommand(),
    new TimelineCommand(),
    new ExplainCommand(),
    new LoadCommand(),
    new StandInCommand(),
    new MeasureCommand(),
    new FaultsCommand(),
    new SlopesCommand(),
    new MeasureRelayCommand(),
    new MeasureEventsCommand(),
    new MeasureGossipCommand(),
    new MeasureLateLoadsCommand(),
    new MeasureLimitsCommand(),
    new MeasureLoadExchangeCommand(),
    new MeasureOrdersCommand(),
    new MeasurePeersCommand(),
    new MeasurePoliciesCommand(),
  ];
}
