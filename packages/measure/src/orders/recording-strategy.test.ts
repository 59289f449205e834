import { expect } from 'chai';

import { Random } from '@sesamegrade/core/random/random';
import { EventQueue } from '../placement/event-queue';
import {
  OwnerRows,
  RowPerOrder,
  RowsInTransactions,
} from './recording-strategy';
import type { RecordingStrategy } from './recording-strategy';
import { TableModel } from './table-model';

const ORDERS = 100;

/** Records orders that arrive together; returns the rows written and the claims confirmed. */
function record(
  make: (queue: EventQueue, table: TableModel) => RecordingStrategy,
): [number, number] {
  const queue = new EventQueue();
  const table = new TableModel(queue, new Random(1));
  const recording = make(queue, table);
  let confirmed = 0;
  for (let order = 0; order < ORDERS; order += 1) {
    recording.recordClaim(0, order % 4, at => {
      confirmed += 1;
      recording.recordResult(at, order % 4);
    });
  }
  for (let event = queue.take(); event; event = queue.take()) {
    event.run();
  }
  return [table.rows, confirmed];
}

describe('order recording strategies', () => {
  it('write fewer rows than orders only where orders share a row', () => {
    const perOrder = record((queue, table) => new RowPerOrder(queue, table));
    expect(perOrder).to.deep.equal([2 * ORDERS, ORDERS]);
    const inTransactions = record(
      (queue, table) => new RowsInTransactions(queue, table),
    );
    expect(inTransactions).to.deep.equal([2 * ORDERS, ORDERS]);
    const [rows, confirmed] = record(
      (queue, table) => new OwnerRows(queue, table, 2),
    );
    expect(rows).to.be.below(ORDERS / 10);
    expect(confirmed).to.equal(ORDERS);
  });
});
