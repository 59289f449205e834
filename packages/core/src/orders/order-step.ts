/** Chooses the next request to the table service for one order. */
import type { RouterId } from '../types/ids';
import type { Condition, TableOperation } from '../types/platform';
import type { Order } from './order';
import type { OrderState } from './order-row';
import { ORDER_TABLE, encodeOrderRow } from './order-row';

/** Next action for an order. */
export type OrderStep =
  | { readonly kind: 'nothing' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly state: OrderState }
  /** Nothing was written under the claim, so the final state needs no row. */
  | { readonly kind: 'settled' };

/** Returns the next action for the order, given the last known state of its row. */
export function nextOrderStep(order: Order): OrderStep {
  switch (order.stage.kind) {
    case 'claimed':
    case 'sent':
      return { kind: 'nothing' };
    case 'polling':
      return { kind: 'read' };
    case 'claiming':
      return order.view.kind === 'uncertain' || order.view.kind === 'own'
        ? { kind: 'read' }
        : { kind: 'write', state: { kind: 'claimed' } };
    case 'closing':
      return closingStep(order, order.stage.state);
  }
}

/**
 * A withdrawal is written over whatever row was read, and even when none exists:
 * a write of the claim that is still in transit then fails its condition.
 */
function closingStep(order: Order, state: OrderState): OrderStep {
  switch (order.view.kind) {
    case 'unseen':
      return { kind: 'settled' };
    case 'uncertain':
      return { kind: 'read' };
    case 'absent':
    case 'replaceable':
    case 'own':
      return { kind: 'write', state };
  }
}

/** Returns the conditional write of a state under this claim. */
export function orderWrite(
  order: Order,
  router: RouterId,
  state: OrderState,
): TableOperation {
  return {
    table: ORDER_TABLE,
    key: order.id,
    condition: writeCondition(order),
    change: {
      kind: 'put',
      value: encodeOrderRow({
        token: order.token,
        fingerprint: order.fingerprint,
        router,
        state,
      }),
    },
  };
}

function writeCondition({ view }: Order): Condition {
  return view.kind === 'replaceable' || view.kind === 'own'
    ? { kind: 'version', version: view.version }
    : { kind: 'absent' };
}
