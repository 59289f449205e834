/** Rows, commands and responses of the engine reconciler. */
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { EngineOrder, EngineReport, EngineState } from './engine-state';

/** A request to an engine whose response is outstanding. */
export interface PendingEngineRequest {
  readonly ticket: number;
  /** The order that was sent; undefined for a read. */
  readonly order: EngineOrder | undefined;
}

/** Row of the reconciler's table. */
export interface EngineRow {
  readonly id: EndpointId;
  /** Last report received since this router holds the lease. */
  readonly report: EngineReport | undefined;
  readonly reportedAt: Instant;
  readonly target: EngineState | undefined;
  readonly pending: PendingEngineRequest | undefined;
  readonly retryAt: Instant;
  readonly failures: number;
}

/** Action that the I/O layer must perform. */
export type EngineCommand =
  /** Send `GET /desired`, then call `onResponse`. */
  | {
      readonly kind: 'read-engine';
      readonly ticket: number;
      readonly engine: EndpointId;
    }
  /** Call `permitOrder`; if it allows, send `PUT /desired`, then call `onResponse`. */
  | {
      readonly kind: 'order-engine';
      readonly ticket: number;
      readonly engine: EndpointId;
      readonly order: EngineOrder;
    };

/** Response or failure of a request to an engine. */
export type EngineResponse =
  /** Status 200 or 409, with the engine's report as untrusted JSON. */
  | { readonly kind: 'reported'; readonly value: unknown }
  /** Rejected, broken off or timed out; the engine may have accepted the order. */
  | { readonly kind: 'failed' };
