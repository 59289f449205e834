/** Streamed chats, as rows of the fault matrix. */
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

/** Steps at which the router has no exchange with an engine. */
const LOCAL_STEPS: readonly ChatStep[] = ['accept', 'place'];

/** Steps of an exchange that has begun. */
const OPEN_STEPS: readonly ChatStep[] = ['run', 'first-event', 'stream', 'end'];

export class ChatScenario extends Scenario<ChatStep> {
  override readonly name = 'chat';
  override readonly steps = CHAT_STEPS;

  override exemption(fault: Fault, step: ChatStep): string | undefined {
    if (STORE_FAULTS.includes(fault)) {
      return 'a chat reads and writes nothing in the store';
    }
    if (fault === 'operators-racing') {
      return 'no step of a chat rests on which configuration is in force';
    }
    if (fault === 'router-stop') {
      return 'a stopping router changes nothing for a chat that it accepted';
    }
    if (isExchangeFault(fault) && LOCAL_STEPS.includes(step)) {
      return 'the router has no exchange under way at this step';
    }
    return fault === 'connection-refused' && OPEN_STEPS.includes(step)
      ? 'the connection is open by then'
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
