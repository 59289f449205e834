/** A router's shell around a request flow, on a schedule instead of sockets. */
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

/** Where an answer comes from, which its event ids tell the caller. */
export interface StreamSource {
  readonly attempt: AttemptId;
  readonly endpoint: EndpointId;
}

/** What a router needs from the world around it. */
export interface ChatEnvironment {
  readonly schedule: Schedule;
  readonly random: Random;
  reach(step: ChatStep, router: ChatRouter): ExchangeFault | undefined;
  engine(id: EndpointId): ChatEngine;
  visibleEndpoints(router: ChatRouter): readonly EndpointId[];
  deliver(request: RequestId, event: StreamEvent, source: StreamSource): void;
  refuse(request: RequestId, refusal: Refusal): void;
}

/** The relay of one request's answer. */
interface Relay extends StreamSource {
  readonly order: StreamSequencer;
  /** Changes with each connection; what comes for another is dropped. */
  connection: number;
  lastHeard: Instant;
}

const TICK = milliseconds(100);
/** Silence after which a stream counts as stalled. */
const STALL_TIMEOUT = seconds(2);
/** Delay of a late event, with which it arrives after later ones. */
const LATE_EVENT = seconds(3);

export class ChatRouter {
  readonly name: string;
  readonly process: Process;
  readonly flow: RequestFlow;
  readonly placement: RandomPlacementStep;
  readonly #world: ChatEnvironment;
  readonly #relays = new Map<RequestId, Relay>();
  #lastConnection = 0;
  #isTicking = false;

  constructor(name: string, world: ChatEnvironment) {
    this.name = name;
    this.#world = world;
    this.process = new Process(world.random);
    this.placement = new RandomPlacementStep(world.random, () =>
      world.visibleEndpoints(this),
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
    this.#world.reach('accept', this);
    this.process.run(() => {
      this.#handle({ kind: 'arrived', request });
    });
  }

  /** A caller goes on here with an answer that another router began. */
  reattach(request: Request, source: StreamSource, after: number): void {
    this.process.run(() => {
      this.#relays.set(request.id, this.#newRelay(source, after));
      this.#handle({ kind: 'reattached', request, ...source });
    });
  }

  #handle(message: RequestMessage): void {
    this.#perform(this.flow.handle(message, this.#world.schedule.now));
  }

  #perform(commands: readonly RequestCommand[]): void {
    for (const command of commands) {
      this.#performOne(command);
    }
    if (!this.#isTicking && this.flow.inFlight > 0) {
      this.#isTicking = true;
      this.#later(TICK, () => {
        this.#isTicking = false;
        this.#checkStalls();
        this.#perform(this.flow.tick(this.#world.schedule.now));
      });
    }
  }

  #performOne(command: RequestCommand): void {
    switch (command.kind) {
      case 'send':
        this.#send(command);
        return;
      case 'resume':
        this.#later(command.after, () => {
          this.#resume(command);
        });
        return;
      case 'cancel':
        this.#world.engine(command.endpoint).cancel(command.attempt);
        return;
      case 'refuse':
        this.#relays.delete(command.request);
        this.#world.refuse(command.request, command.refusal);
        return;
      case 'record':
      case 'settle':
    }
  }

  #send(command: Extract<RequestCommand, { kind: 'send' }>): void {
    const { request, attempt, endpoint } = command;
    const relay = this.#newRelay({ attempt, endpoint }, 0);
    this.#relays.set(request, relay);
    this.#world.reach('place', this);
    const fault = this.#world.reach('send', this);
    const { connection } = relay;
    this.process.run(() => {
      this.#later(milliseconds(2), () => {
        this.#arrive(request, relay, connection, fault);
      });
    });
  }

  /** The request reaches the engine, or does not. */
  #arrive(
    request: RequestId,
    relay: Relay,
    connection: number,
    fault: ExchangeFault | undefined,
  ): void {
    const { attempt, endpoint } = relay;
    const engine = this.#world.engine(endpoint);
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
    const runFault = this.#world.reach('run', this) ?? fault;
    const sink = this.#sink(request, relay, connection);
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
    relay.lastHeard = this.#world.schedule.now;
    const fault = this.#world.reach('resume', this);
    const sink = this.#sink(request, relay, relay.connection);
    const engine = this.#world.engine(endpoint);
    engine.connect(attempt, relay.order.lastDelivered, sink, fault);
  }

  #newRelay(source: StreamSource, after: number): Relay {
    this.#lastConnection += 1;
    return {
      ...source,
      order: new StreamSequencer(after),
      connection: this.#lastConnection,
      lastHeard: this.#world.schedule.now,
    };
  }

  #sink(request: RequestId, relay: Relay, connection: number): StreamSink {
    const ifCurrent = (action: () => void) => {
      this.process.run(() => {
        const isCurrent = this.#relays.get(request) === relay;
        if (isCurrent && relay.connection === connection) {
          action();
        }
      });
    };
    const take = (event: StreamEvent) => {
      ifCurrent(() => {
        this.#event(request, relay, event);
      });
    };
    return {
      onEvent: event => {
        const fault = this.#world.reach(stepOf(event), this);
        this.#takeWithFault(event, fault, take, () => {
          ifCurrent(() => {
            this.#broken(request, relay, 'reset', true);
          });
        });
      },
      onClosed: ending => {
        ifCurrent(() => {
          this.#broken(request, relay, 'reset', ending === 'reset');
        });
      },
    };
  }

  /** An event arrives whole, late, twice or never. */
  #takeWithFault(
    event: StreamEvent,
    fault: ExchangeFault | undefined,
    take: (event: StreamEvent) => void,
    cut: () => void,
  ): void {
    switch (fault) {
      case 'reset-before-headers':
      case 'reset-mid-answer':
        cut();
        return;
      case 'stall':
        return;
      case 'late-answer':
      case 'slow':
        this.#world.schedule.after(LATE_EVENT, () => {
          take(event);
        });
        return;
      case 'duplicated-answer':
        take(event);
        take(event);
        return;
      case 'connection-refused':
      case undefined:
        take(event);
    }
  }

  #event(request: RequestId, relay: Relay, event: StreamEvent): void {
    const { attempt, endpoint, order } = relay;
    relay.lastHeard = this.#world.schedule.now;
    this.#handle({ kind: 'answering', request, attempt });
    const fate = order.accept(event.number, event.isEnd);
    if (fate === 'gap') {
      this.#broken(request, relay, 'reset', true);
    }
    if (fate !== 'deliver') {
      return;
    }
    this.#world.deliver(request, event, { attempt, endpoint });
    this.#handle({ kind: 'delivered', request, attempt });
    if (event.isEnd) {
      this.#relays.delete(request);
      const events = event.number;
      this.#handle({ kind: 'finished', request, attempt, events });
    }
  }

  #broken(
    request: RequestId,
    relay: Relay,
    breakage: 'reset' | 'stall',
    resumable: boolean,
  ): void {
    relay.connection = 0;
    const { attempt } = relay;
    this.#handle({ kind: 'broken', request, attempt, breakage, resumable });
  }

  #checkStalls(): void {
    const { now } = this.#world.schedule;
    for (const [request, relay] of this.#relays) {
      const isSilent = now - relay.lastHeard >= STALL_TIMEOUT;
      if (relay.connection !== 0 && isSilent) {
        this.#broken(request, relay, 'stall', true);
      }
    }
  }

  #later(delay: ReturnType<typeof milliseconds>, action: () => void): void {
    this.#world.schedule.after(delay, () => {
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
