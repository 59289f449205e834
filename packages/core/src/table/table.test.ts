import { expect } from 'chai';

import type { EndpointId } from '../types/ids';
import { endpointId } from '../types/ids';
import { Table } from './table';

interface Row {
  readonly id: EndpointId;
  readonly load: number;
}

describe('Table', () => {
  it('patches an existing row and returns false for a missing one', () => {
    const table = new Table<EndpointId, Row>();
    const id = endpointId('engine-1');
    table.put({ id, load: 1 });
    expect(table.patch(id, { load: 2 })).to.equal(true);
    expect(table.get(id)?.load).to.equal(2);
    expect(table.patch(endpointId('engine-2'), { load: 1 })).to.equal(false);
    expect(table.size).to.equal(1);
  });
});
