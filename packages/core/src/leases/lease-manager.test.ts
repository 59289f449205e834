import { expect } from 'chai';

import { Random } from '../random/random';
import { NoopEventRecorder } from '../timeline/event';
import { fencingNumber, leaseId, routerId } from '../types/ids';
import type { ReadResponse, TableRow } from '../types/platform';
import type { Instant } from '../types/units';
import { instant } from '../types/units';
import type { LeaseCommand } from './lease';
import { LeaseManager } from './lease-manager';
import { LeaseRules } from './lease-rules';

const id = leaseId('engines');

describe('LeaseManager', () => {
  let now: Instant;
  let stored: TableRow | undefined;
  let version = 0;

  function newManager(holder: string): LeaseManager {
    return new LeaseManager({
      router: routerId(holder),
      holder,
      random: new Random(3),
      recorder: new NoopEventRecorder(),
      rules: new LeaseRules(),
    });
  }

  /** Applies a write to the stored row if its condition holds. */
  function apply(command: Extract<LeaseCommand, { kind: 'write' }>): boolean {
    const [operation] = command.operations;
    const { condition, change } = operation!;
    const holds =
      condition.kind === 'absent'
        ? stored === undefined
        : condition.kind === 'version' && condition.version === stored?.version;
    if (holds && change.kind === 'put') {
      version += 1;
      stored = { table: 'leases', key: id, version, value: change.value };
    }
    return holds;
  }

  const readRow = (): ReadResponse =>
    stored ? { kind: 'found', row: stored } : { kind: 'absent' };

  /**
   * Serves all reads and writes; returns the kinds of the `taken` and `lost`
   * commands.
   */
  function settle(manager: LeaseManager, loseResponses = false): string[] {
    const reports: string[] = [];
    for (;;) {
      const commands = manager.takeCommands();
      if (commands.length === 0) {
        return reports;
      }
      for (const command of commands) {
        if (command.kind === 'read') {
          manager.onReadResponse(command.ticket, readRow(), now);
        } else if (command.kind === 'write') {
          const holds = apply(command);
          manager.onWriteResponse(
            command.ticket,
            loseResponses
              ? { kind: 'unknown' }
              : holds
                ? { kind: 'committed', versions: [version] }
                : { kind: 'conflict', operation: 0 },
            now,
          );
        } else {
          reports.push(command.kind);
        }
      }
    }
  }

  function later(
    ms: number,
    manager: LeaseManager,
    loseResponses = false,
  ): string[] {
    now = instant(now + ms);
    manager.tick(now);
    return settle(manager, loseResponses);
  }

  beforeEach(() => {
    now = instant(0);
    stored = undefined;
  });

  it('takes a free lease, renews it and stops acting when the store is unavailable', () => {
    const first = newManager('r1');
    first.acquire(id, now);
    expect(settle(first)).to.deep.equal(['taken']);
    expect(first.activeFence(id, now)).to.equal(1);
    later(5000, first);
    now = instant(17_000);
    expect(first.activeFence(id, now)).to.equal(1);
    now = instant(17_800);
    expect(first.activeFence(id, now)).to.equal(undefined);
  });

  it('lets a successor take the lease only after its whole duration, with a higher fencing number', () => {
    const first = newManager('r1');
    const second = newManager('r2');
    first.acquire(id, now);
    settle(first);
    now = instant(1000);
    second.acquire(id, now);
    settle(second);
    for (let step = 0; step < 14; step += 1) {
      expect(later(1000, second)).to.deep.equal([]);
    }
    expect(first.activeFence(id, now)).to.equal(undefined);
    expect(later(1000, second)).to.deep.equal(['taken']);
    expect(second.activeFence(id, now)).to.equal(2);
    expect(later(1, first)).to.deep.equal(['lost']);
  });

  it('counts a lease whose write response was lost from the start of the write', () => {
    const first = newManager('r1');
    first.acquire(id, now);
    settle(first, true);
    expect(later(150, first)).to.deep.equal(['taken']);
    now = instant(12_799);
    expect(first.activeFence(id, now)).to.equal(1);
    now = instant(12_800);
    expect(first.activeFence(id, now)).to.equal(undefined);
  });

  it('releases the row only after everything sent under the lease must have arrived', () => {
    const first = newManager('r1');
    first.acquire(id, now);
    settle(first);
    first.releaseAll(now);
    expect(settle(first)).to.deep.equal(['lost']);
    expect(first.activeFence(id, now)).to.equal(undefined);
    later(1999, first);
    expect(stored?.value).to.include({ released: false });
    later(1, first);
    expect(stored?.value).to.include({ released: true });
    later(1, first);
    expect(first.openCount).to.equal(0);
    const second = newManager('r2');
    second.acquire(id, now);
    expect(settle(second)).to.deep.equal(['taken']);
    expect(second.activeFence(id, now)).to.equal(2);
  });

  it('takes a fencing number above one that a receiver reports', () => {
    const first = newManager('r1');
    first.acquire(id, now);
    settle(first);
    first.onHigherFence(id, fencingNumber(7), now);
    expect(settle(first)).to.deep.equal(['lost', 'taken']);
    expect(first.activeFence(id, now)).to.equal(8);
  });

  it('does not overwrite rows of a newer format', () => {
    stored = { table: 'leases', key: id, version: 1, value: { format: 9 } };
    const first = newManager('r1');
    first.acquire(id, now);
    expect(settle(first)).to.deep.equal([]);
    later(60_000, first);
    expect(first.unreadableRowCount).to.equal(2);
    expect(stored.version).to.equal(1);
  });
});
