import { expect } from 'chai';
import fc from 'fast-check';

import { NoopEventRecorder } from '../timeline/event';
import { endpointId, incarnation } from '../types/ids';
import { instant } from '../types/units';
import { EndpointTable } from './endpoint-table';
import { vmEntrySchema } from './vm-entry';

const SEED = 20_261_203;
const id = endpointId('vm-1');

function entry(fields: object = {}): object {
  return {
    vm: 'vm-1',
    kind: 'engine',
    models: ['m'],
    host: '127.0.0.1',
    port: 9000,
    zone: 'a',
    state: 'live',
    incarnation: 1,
    capacity: 8,
    ...fields,
  };
}

function tableWith(...entries: object[]): EndpointTable {
  const table = new EndpointTable({ recorder: new NoopEventRecorder() });
  table.onVmList(entries, instant(0));
  return table;
}

function usable(table: EndpointTable): string[] {
  return [...table.endpoints()].map(row => `${row.id}/${row.incarnation}`);
}

describe('EndpointTable', () => {
  it('keeps leaving sticky until a higher incarnation is listed', () => {
    const table = tableWith(entry());
    table.onSignal(id, 'refused-as-leaving', instant(10));
    table.onVmList([entry()], instant(20));
    expect(usable(table)).to.deep.equal([]);
    table.onVmList([entry({ incarnation: 2 })], instant(30));
    expect(usable(table)).to.deep.equal(['vm-1/2']);
    table.onVmList([entry({ incarnation: 1 })], instant(40));
    expect(usable(table)).to.deep.equal(['vm-1/2']);
  });

  it('does not bring back an endpoint that left after its row was removed', () => {
    const table = tableWith(entry({ state: 'leaving' }));
    table.onVmList([], instant(1000));
    table.tick(instant(60_000));
    table.tick(instant(1_000_000));
    expect(table.get(id)).to.equal(undefined);
    table.onVmList([entry()], instant(1_000_001));
    expect(usable(table)).to.deep.equal([]);
  });

  it('ramps a joining endpoint and holds back a flapping one longer at each return', () => {
    const table = tableWith();
    let now = 1000;
    const holds: number[] = [];
    for (let start = 1; start <= 4; start += 1) {
      table.onVmList([entry({ incarnation: start })], instant(now));
      holds.push(Number(table.get(id)?.rampStart) - now);
      expect(table.get(id)?.phase).to.equal('joining');
      now += 1000;
    }
    expect(holds[0]).to.equal(0);
    expect(holds[1]).to.equal(0);
    expect(holds[2]).to.be.greaterThan(4000);
    expect(holds[3]).to.be.greaterThan(Number(holds[2]) * 1.9);
    expect(usable(table)).to.deep.equal([]);
    table.tick(instant(now + 60_000));
    expect(table.get(id)?.phase).to.equal('live');
  });

  it('marks a long missing endpoint as gone, but not one that responds', () => {
    const table = tableWith(entry(), entry({ vm: 'vm-2' }));
    table.onVmList([], instant(1000));
    table.onSignal(endpointId('vm-2'), 'answered', instant(30_000));
    table.tick(instant(31_000));
    expect(usable(table)).to.deep.equal(['vm-2/1']);
    expect(table.get(id)?.cause).to.equal('missing');
  });

  it('adds no endpoint and no incarnation on the report of a peer alone', () => {
    const table = tableWith(entry());
    const reported = vmEntrySchema.parse(entry({ vm: 'made-up' }));
    if (reported.kind !== 'router') {
      table.applyPeerUpdate(reported, instant(5));
    }
    const huge = incarnation(2 ** 42);
    table.markLeaving(id, huge, 'told-by-peer', instant(6));
    table.markLeaving(id, incarnation(2), 'told-by-peer', instant(6));
    expect(usable(table)).to.deep.equal(['vm-1/1']);
    table.onVmList([entry({ incarnation: 2 })], instant(7));
    expect(table.get(id)?.phase).to.equal('leaving');
  });

  it('accepts any list, and never uses a process start again after it left', () => {
    const vm = fc.record({
      vm: fc.constantFrom('vm-1', 'vm-2'),
      kind: fc.constant('engine'),
      host: fc.constantFrom('h', 'g'),
      port: fc.constantFrom(1, 2, -5),
      zone: fc.constant('a'),
      state: fc.constantFrom('live', 'leaving'),
      incarnation: fc.constantFrom(-1, 0, 1, 2, 3, 1e300, 2 ** 50, 0.5),
      capacity: fc.constantFrom(1, -1),
    });
    const list = fc.array(
      fc.oneof({ weight: 8, arbitrary: vm }, fc.anything()),
    );
    const anyEvent = fc.oneof(
      list.map(entries => ({ kind: 'list' as const, entries })),
      fc.record({
        kind: fc.constant('report' as const),
        vm: fc.constantFrom('vm-1', 'vm-2'),
        start: fc.nat(4),
      }),
      fc.record({ kind: fc.constant('wait' as const), time: fc.nat(700_000) }),
    );
    const history = fc.array(anyEvent, { maxLength: 40 });
    fc.assert(
      fc.property(history, events => {
        const table = tableWith();
        const left = new Map<string, number>();
        table.subscribe(change => {
          if (change.phase === 'leaving') {
            left.set(change.id, change.incarnation);
          }
        });
        let now = 0;
        for (const event of events) {
          now += event.kind === 'wait' ? event.time : 1;
          if (event.kind === 'list') {
            table.onVmList(event.entries, instant(now));
          } else if (event.kind === 'report') {
            const start = incarnation(event.start);
            const reported = endpointId(event.vm);
            table.markLeaving(reported, start, 'told-by-peer', instant(now));
          } else {
            table.tick(instant(now));
          }
          for (const row of table.endpoints()) {
            expect(row.incarnation).to.be.greaterThan(left.get(row.id) ?? -1);
            expect(row.incarnation).to.be.within(0, 3);
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
