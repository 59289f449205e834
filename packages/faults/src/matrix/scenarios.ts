/** Lists the scenarios of the fault matrix. */
import { ChatScenario } from '../chats/chat-scenario';
import { ConfigurationScenario } from '../configuration/configuration-scenario';
import { EngineOrderScenario } from '../engine-orders/engine-order-scenario';
import { OrderScenario } from '../orders/order-scenario';
import type { Scenario } from './scenario';

export function scenarios(): Scenario[] {
  return [
    new ChatScenario(),
    new OrderScenario(),
    new EngineOrderScenario(true),
    new EngineOrderScenario(false),
    new ConfigurationScenario(),
  ];
}
