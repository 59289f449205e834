/** One engine as the reconciler knows it, and the reconciler's messages. */
import type { EndpointId } from '../types/ids';
import type { Instant } from '../types/units';
import type { EngineOrder, EngineReport, EngineState } from './engine-state';

/** A request to an engine that has not been answered. */
export interface PendingEngineRequest {
  readonly ticket: number;
  /** The order that was sent; undefined for a read. */
  readonly order: EngineOrder | undefined;
}

/** Row of the reconciler's table. */
export interface EngineRow {
  readonly id: EndpointId;
  /** Last account under the present hold of the lease. */
  readonly report: EngineReport | undefined;
  readonly reportedAt: Instant;
  readonly target: EngineState | undefined;
  readonly pending: PendingEngineRequest | undefined;
  readonly retryAt: Instant;
  readonly failures: number;
}

/** What the shell must do. */
export type EngineCommand =
  /** `GET /desired`, then `answered`. */
  | {
      readonly kind: 'read-engine';
      readonly ticket: number;
      readonly engine: EndpointId;
    }
  /** Ask `permitOrder`, then `PUT /desired`, then `answered`. */
  | {
      readonly kind: 'order-engine';
      readonly ticket: number;
      readonly engine: EndpointId;
      readonly order: EngineOrder;
    };

/** What came of a request to an engine. */
export type EngineResponse =
  /** Status 200 or 409, with the engine's report as untrusted JSON. */
  | { readonly kind: 'reported'; readonly value: unknown }
  /** Refused, broken or silent; the order may have been taken. */
  | { readonly kind: 'failed' };
