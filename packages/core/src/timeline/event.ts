/** Typed events of the timeline; each process records them in a bounded buffer. */

/** Ids that link an event to its causes in other processes. */
export interface EventLinks {
  readonly request?: string;
  readonly attempt?: string;
  readonly endpoint?: string;
  readonly router?: string;
  readonly team?: string;
  readonly lease?: string;
  readonly configuration?: number;
  readonly order?: string;
}

export type EventKind =
  | 'process-started'
  | 'process-stopping'
  | 'process-stopped'
  | 'request-accepted'
  | 'request-queued'
  | 'request-placed'
  | 'request-sent'
  | 'request-retried'
  | 'request-resumed'
  | 'request-finished'
  | 'request-refused'
  | 'endpoint-joined'
  | 'endpoint-leaving'
  | 'endpoint-gone'
  | 'endpoint-ejected'
  | 'endpoint-restored'
  | 'router-joined'
  | 'router-gone'
  | 'suspect-marked'
  | 'suspect-cleared'
  | 'suspect-refused'
  | 'order-recorded'
  | 'order-settled'
  | 'order-withdrawn'
  | 'lease-taken'
  | 'lease-lost'
  | 'lease-released'
  | 'engine-order-sent'
  | 'engine-order-done'
  | 'configuration-accepted'
  | 'configuration-applied'
  | 'store-unavailable'
  | 'store-available'
  | 'fault-set';

/** Records events; an implementation adds timestamps and may drop the oldest events. */
export abstract class EventRecorder {
  abstract record(
    kind: EventKind,
    links: EventLinks,
    detail?: Readonly<Record<string, string | number | boolean>>,
  ): void;
}

/** Discards every event, for code that runs without a timeline. */
export class NoopEventRecorder extends EventRecorder {
  override record(): void {
    // Discards the event.
  }
}
