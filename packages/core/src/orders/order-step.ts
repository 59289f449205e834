/** Chooses the next exchange with the table service for one order. */
import type { RouterId } from '../types/ids';
import type { Condition, TableOperation } from '../types/platform';
import type { Order } from './order';
import type { OrderState } from './order-row';
import { ORDER_TABLE, encodeOrderRow } from './order-row';

/** What an order needs from the store now. */
export type OrderStep =
  | { readonly kind: 'nothing' }
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly state: OrderState }
  /** The last state is known not to need a row. */
  | { readonly kind: 'settled' };

/** Returns what brings the order on, given what is known of its row. */
export function nextOrderStep(order: Order): OrderStep {
  switch (order.stage.kind) {
    case 'claimed':
    case 'sent':
      return { kind: 'nothing' };
    case 'watching':
      return { kind: 'read' };
    case 'claiming':
      return order.view.kind === 'unsure' || order.view.kind === 'mine'
        ? { kind: 'read' }
        : { kind: 'write', state: { kind: 'claimed' } };
    case 'closing':
      return closingStep(order, order.stage.state);
  }
}

/**
 * A withdrawal replaces whatever was read, even an absent row: a write of the
 * claim that is still under way then fails its condition.
 */
function closingStep(order: Order, state: OrderState): OrderStep {
  switch (order.view.kind) {
    case 'unseen':
      return { kind: 'settled' };
    case 'unsure':
      return { kind: 'read' };
    case 'absent':
    case 'vacant':
    case 'mine':
      return { kind: 'write', state };
  }
}

/** Returns the conditional write of a state for this claim. */
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
  return view.kind === 'vacant' || view.kind === 'mine'
    ? { kind: 'version', version: view.version }
    : { kind: 'absent' };
}
