/** Scenario of the fault matrix: streamed chats. */
import type { HistoryReport } from '../matrix/scenario';
import { Scenario } from '../matrix/scenario';
import type { Fault, Injection } from '../simulation/fault';
import { isExchangeFault } from '../simulation/fault';
import type { ChatStep } from './chat-router';
import { CHAT_STEPS } from './chat-router';
import { ChatSimulation } from './chat-simulation';

const STORE_FAULTS: readonly Fault[] = [
  'store-down',
  'store-slow',
  'store-answer-lost',
  'store-rate-limited',
];

/** Steps at which the router has no exchange with an engine in progress. */
const LOCAL_STEPS: readonly ChatStep[] = ['accept', 'place'];

/** Steps at which the connection to the engine is already open. */
const CONNECTED_STEPS: readonly ChatStep[] = [
  'run',
  'first-event',
  'stream',
  'end',
];

export class ChatScenario extends Scenario<ChatStep> {
  override readonly name = 'chat';
  override readonly steps = CHAT_STEPS;

  override exemption(fault: Fault, step: ChatStep): string | undefined {
    if (STORE_FAULTS.includes(fault)) {
      return 'a chat does not use the store';
    }
    if (fault === 'operators-racing') {
      return 'no step of a chat depends on the configuration version in force';
    }
    if (fault === 'router-stop') {
      return 'the shutdown of a router does not affect a chat that it accepted';
    }
    if (isExchangeFault(fault) && LOCAL_STEPS.includes(step)) {
      return 'the router has no exchange in progress at this step';
    }
    return fault === 'connection-refused' && CONNECTED_STEPS.includes(step)
      ? 'the connection is already open at this step'
      : undefined;
  }

  override prerequisites(step: ChatStep): readonly Injection<ChatStep>[] {
    return step === 'resume'
      ? [1, 2, 3].map(occurrence => ({
          fault: 'reset-mid-answer',
          step: 'send',
          occurrence,
        }))
      : [];
  }

  override run(
    seed: number,
    plan: readonly Injection<ChatStep>[],
  ): HistoryReport {
    return new ChatSimulation({ seed, plan }).run();
  }
}
