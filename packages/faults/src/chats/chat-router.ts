/**
 * Simulates the I/O layer of a router around a request flow, in virtual time
 * without sockets.
 */
import { RequestFlow } from '@sesamegrade/core/requests/request-flow';
import type {
  Refusal,
  Request,
  RequestCommand,
  RequestMessage,
} from '@sesamegrade/core/requests/types';
import type { Random } from '@sesamegrade/core/random/random';
import { StreamSequencer } from '@sesamegrade/core/streams/stream-sequencer';
import type {
  AttemptId,
  EndpointId,
  RequestId,
} from '@sesamegrade/core/types/ids';
import type { Instant } from '@sesamegrade/core/types/units';
import { milliseconds, seconds } from '@sesamegrade/core/types/units';
import type { ExchangeFault } from '../simulation/fault';
import { Process } from '../simulation/process';
import type { Schedule } from '../simulation/schedule';
import type { ChatEngine, StreamEvent, StreamSink } from './chat-engine';
import {
  LimitedRetryStep,
  UnlimitedAdmissionStep,
  RandomPlacementStep,
} from './chat-policies';

export const CHAT_STEPS = [
  'accept',
  'place',
  'send',
  'run',
  'first-event',
  'stream',
  'end',
  'resume',
] as const;

export type ChatStep = (typeof CHAT_STEPS)[number];

/**
 * Source of a response, which the caller knows from its event ids and can
 * resume from.
 */
export interface StreamSource {
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** The simulation as a router uses it. */
export interface ChatEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  /**
   * Counts a step, injects its faults and returns the fault of the current
   * exchange, if any.
   */
  reach(step: ChatStep, router: ChatRouter): ExchangeFault | undefined;
  engine(id: EndpointId): ChatEngine;
  visibleEndpoints(router: ChatRouter): readonly EndpointId[];
  deliver(request: RequestId, event: StreamEvent, source: StreamSource): void;
  refuse(request: RequestId, refusal: Refusal): void;
}

/** State of relaying one request's response to the caller. */
interface RelayedStream extends StreamSource {
  readonly sequencer: StreamSequencer;
  /**
   * Number of the current connection, 0 while there is none. Events of other
   * connections are dropped.
   */
  connection: number;
  lastReceivedAt: Instant;
}

const TICK = milliseconds(100);
/** Time without events after which a stream counts as stalled. */
const STALL_TIMEOUT = seconds(2);
/** Delay of a late event; it arrives after its successors. */
const LATE_EVENT_DELAY = seconds(3);

export class ChatRouter {
  readonly name: string;
  readonly process: Process;
  readonly flow: RequestFlow;
  readonly placement: RandomPlacementStep;
  readonly #environment: ChatEnvironment;
  readonly #relays = new Map<RequestId, RelayedStream>();
  #lastConnection = 0;
  #isTicking = false;

  constructor(name: string, environment: ChatEnvironment) {
    this.name = name;
    this.#environment = environment;
    this.process = new Process(environment.random);
    this.placement = new RandomPlacementStep(environment.random, () =>
      environment.visibleEndpoints(this),
    );
    this.flow = new RequestFlow({
      admission: new UnlimitedAdmissionStep(),
      placement: this.placement,
      retry: new LimitedRetryStep(),
      placementWait: milliseconds(50),
      attemptPrefix: name,
    });
  }

  accept(request: Request): void {
    this.#environment.reach('accept', this);
    this.process.run(() => {
      this.#handle({ kind: 'arrived', request });
    });
  }

  /** Resumes for a caller a response that was started by another router. */
  reattach(request: Request, source: StreamSource, after: number): void {
    this.process.run(() => {
      this.#relays.set(request.id, this.#newRelay(source, after));
      this.#handle({ kind: 'reattached', request, ...source });
    });
  }

  #handle(message: RequestMessage): void {
    this.#perform(this.flow.handle(message, this.#environment.schedule.now));
  }

  #perform(commands: readonly RequestCommand[]): void {
    for (const command of commands) {
      this.#performOne(command);
    }
    if (!this.#isTicking && this.flow.inFlight > 0) {
      this.#isTicking = true;
      this.#runAfter(TICK, () => {
        this.#isTicking = false;
        this.#checkStalls();
        this.#perform(this.flow.tick(this.#environment.schedule.now));
      });
    }
  }

  #performOne(command: RequestCommand): void {
    switch (command.kind) {
      case 'send':
        this.#send(command);
        return;
      case 'resume':
        this.#runAfter(command.after, () => {
          this.#resume(command);
        });
        return;
      case 'cancel':
        this.#environment.engine(command.endpoint).cancel(command.attempt);
        return;
      case 'refuse':
        this.#relays.delete(command.request);
        this.#environment.refuse(command.request, command.refusal);
        return;
      case 'record':
      case 'settle':
    }
  }

  #send(command: Extract<RequestCommand, { kind: 'send' }>): void {
    const { request, attempt, endpoint } = command;
    const relay = this.#newRelay({ attempt, endpoint }, 0);
    this.#relays.set(request, relay);
    this.#environment.reach('place', this);
    const fault = this.#environment.reach('send', this);
    const { connection } = relay;
    this.process.run(() => {
      this.#runAfter(milliseconds(2), () => {
        this.#deliverToEngine(request, relay, connection, fault);
      });
    });
  }

  /**
   * Delivers the request to the engine, unless the engine or a fault refuses
   * it.
   */
  #deliverToEngine(
    request: RequestId,
    relay: RelayedStream,
    connection: number,
    fault: ExchangeFault | undefined,
  ): void {
    const { attempt, endpoint } = relay;
    const engine = this.#environment.engine(endpoint);
    if (engine.isDown || fault === 'connection-refused') {
      this.#handle({ kind: 'not-sent', request, attempt });
      return;
    }
    if (engine.isLeaving) {
      const decline = 'leaving';
      this.#handle({ kind: 'declined', request, attempt, decline });
      return;
    }
    engine.start(attempt, request);
    const runFault = this.#environment.reach('run', this) ?? fault;
    const sink = this.#newSink(request, relay, connection);
    engine.connect(attempt, 0, sink, runFault);
  }

  #resume(command: Extract<RequestCommand, { kind: 'resume' }>): void {
    const { request, attempt, endpoint } = command;
    const relay = this.#relays.get(request);
    if (relay?.attempt !== attempt) {
      return;
    }
    this.#lastConnection += 1;
    relay.connection = this.#lastConnection;
    relay.lastReceivedAt = this.#environment.schedule.now;
    const fault = this.#environment.reach('resume', this);
    const sink = this.#newSink(request, relay, relay.connection);
    const engine = this.#environment.engine(endpoint);
    engine.connect(attempt, relay.sequencer.lastDelivered, sink, fault);
  }

  #newRelay(source: StreamSource, after: number): RelayedStream {
    this.#lastConnection += 1;
    return {
      ...source,
      sequencer: new StreamSequencer(after),
      connection: this.#lastConnection,
      lastReceivedAt: this.#environment.schedule.now,
    };
  }

  #newSink(
    request: RequestId,
    relay: RelayedStream,
    connection: number,
  ): StreamSink {
    const ifCurrent = (action: () => void) => {
      this.process.run(() => {
        const isCurrent = this.#relays.get(request) === relay;
        if (isCurrent && relay.connection === connection) {
          action();
        }
      });
    };
    const receive = (event: StreamEvent) => {
      ifCurrent(() => {
        this.#onEvent(request, relay, event);
      });
    };
    return {
      onEvent: event => {
        const fault = this.#environment.reach(stepOf(event), this);
        this.#receiveWithFault(event, fault, receive, () => {
          ifCurrent(() => {
            this.#onBroken(request, relay, 'reset', true);
          });
        });
      },
      onClosed: ending => {
        ifCurrent(() => {
          this.#onBroken(request, relay, 'reset', ending === 'reset');
        });
      },
    };
  }

  /** Receives an event as its fault demands: once, late, twice or never. */
  #receiveWithFault(
    event: StreamEvent,
    fault: ExchangeFault | undefined,
    receive: (event: StreamEvent) => void,
    breakOff: () => void,
  ): void {
    switch (fault) {
      case 'reset-before-headers':
      case 'reset-mid-answer':
        breakOff();
        return;
      case 'stall':
        return;
      case 'late-answer':
      case 'slow':
        this.#environment.schedule.after(LATE_EVENT_DELAY, () => {
          receive(event);
        });
        return;
      case 'duplicated-answer':
        receive(event);
        receive(event);
        return;
      case 'connection-refused':
      case undefined:
        receive(event);
    }
  }

  #onEvent(request: RequestId, relay: RelayedStream, event: StreamEvent): void {
    const { attempt, endpoint, sequencer } = relay;
    relay.lastReceivedAt = this.#environment.schedule.now;
    this.#handle({ kind: 'answering', request, attempt });
    const disposition = sequencer.accept(event.number, event.isEnd);
    if (disposition === 'gap') {
      this.#onBroken(request, relay, 'reset', true);
    }
    if (disposition !== 'deliver') {
      return;
    }
    this.#environment.deliver(request, event, { attempt, endpoint });
    this.#handle({ kind: 'delivered', request, attempt });
    if (event.isEnd) {
      this.#relays.delete(request);
      const events = event.number;
      this.#handle({ kind: 'finished', request, attempt, events });
    }
  }

  #onBroken(
    request: RequestId,
    relay: RelayedStream,
    breakage: 'reset' | 'stall',
    resumable: boolean,
  ): void {
    relay.connection = 0;
    const { attempt } = relay;
    this.#handle({ kind: 'broken', request, attempt, breakage, resumable });
  }

  #checkStalls(): void {
    const { now } = this.#environment.schedule;
    for (const [request, relay] of this.#relays) {
      const isSilent = now - relay.lastReceivedAt >= STALL_TIMEOUT;
      if (relay.connection !== 0 && isSilent) {
        this.#onBroken(request, relay, 'stall', true);
      }
    }
  }

  #runAfter(delay: ReturnType<typeof milliseconds>, action: () => void): void {
    this.#environment.schedule.after(delay, () => {
      this.process.run(action);
    });
  }
}

function stepOf({ number, isEnd }: StreamEvent): ChatStep {
  if (isEnd) {
    return 'end';
  }
  return number === 1 ? 'first-event' : 'stream';
}
