import { expect } from 'chai';

import { Random } from '../random/random';
import { NoopEventRecorder } from '../timeline/event';
import { changeId, routerId } from '../types/ids';
import type { ReadResponse, TableRow, WriteResponse } from '../types/platform';
import { instant } from '../types/units';
import { ConfigurationReplica } from './configuration-replica';
import type { ConfigurationCommand } from './configuration-replica';
import type { ConfigurationChange } from './content';
import type { Proposal, ProposalOutcome } from './proposal';

const SEED = 20_261_203;

function setTeamLimit(value: number): ConfigurationChange {
  return { kind: 'set-defaults', values: { teamLimit: value } };
}

function proposal(id: string, change: ConfigurationChange): Proposal {
  return { changeId: changeId(id), who: `operator of ${id}`, when: 1, change };
}

function newReplica(seed: number): ConfigurationReplica {
  return new ConfigurationReplica({
    random: new Random(seed),
    recorder: new NoopEventRecorder(),
    routerCount: () => 3,
  });
}

type Fault = 'none' | 'lost-before' | 'lost-after' | 'down' | 'limited';

/** A table that commits one transaction at a time and whose responses may be lost. */
class FakeTable {
  readonly rows = new Map<string, TableRow>();
  readonly accepted: string[] = [];

  read(key: string, fault: Fault): ReadResponse {
    if (fault !== 'none') {
      return { kind: 'unavailable' };
    }
    const row = this.rows.get(key);
    return row ? { kind: 'found', row } : { kind: 'absent' };
  }

  write(
    command: Extract<ConfigurationCommand, { kind: 'write' }>,
    fault: Fault,
  ): WriteResponse {
    if (fault === 'down') {
      return { kind: 'unavailable' };
    }
    if (fault === 'limited') {
      return { kind: 'rate-limited', retryAfterMs: 100 };
    }
    if (fault === 'lost-before') {
      return { kind: 'unknown' };
    }
    const response = this.#commit(command);
    return fault === 'lost-after' ? { kind: 'unknown' } : response;
  }

  #commit({
    operations,
  }: Extract<ConfigurationCommand, { kind: 'write' }>): WriteResponse {
    for (const [operation, { key, condition }] of operations.entries()) {
      const version = this.rows.get(key)?.version;
      const holds =
        condition.kind === 'none' ||
        (condition.kind === 'absent' && version === undefined) ||
        (condition.kind === 'version' && condition.version === version);
      if (!holds) {
        return { kind: 'conflict', operation };
      }
    }
    const versions = operations.map(({ table, key, change }) => {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      const value: unknown = change.kind === 'put' ? change.value : undefined;
      this.rows.set(key, { table, key, version, value });
      if (key === 'head') {
        const head = value as { record: { changeId: string } };
        this.accepted.push(head.record.changeId);
      }
      return version;
    });
    return { kind: 'committed', versions };
  }
}

function step(
  replica: ConfigurationReplica,
  table: FakeTable,
  now: number,
  fault: Fault = 'none',
): void {
  const command = replica.tick(instant(now));
  if (command?.kind === 'read') {
    replica.onReadResponse(table.read(command.key, fault), instant(now));
  } else if (command) {
    replica.onWriteResponse(table.write(command, fault), instant(now));
  }
}

/**
 * Serves the replica's requests without faults for a minute, which settles all
 * its proposals.
 */
function settle(
  replica: ConfigurationReplica,
  table: FakeTable,
  now = 0,
): void {
  for (let time = now; time < now + 60_000; time += 100) {
    step(replica, table, time);
  }
}

function outcomes(replica: ConfigurationReplica): ProposalOutcome[] {
  return replica.takeResults().map(result => result.outcome);
}

describe('ConfigurationReplica', () => {
  it('commits one of two concurrent changes and reports the winner to the other operator', () => {
    const table = new FakeTable();
    const [first, second] = [newReplica(1), newReplica(2)];
    first.propose(proposal('a', setTeamLimit(1)));
    second.propose(proposal('b', setTeamLimit(2)));
    step(first, table, 0);
    step(second, table, 0);
    step(first, table, 1);
    step(second, table, 1);
    settle(second, table, 2);
    expect(outcomes(first)).to.deep.equal([{ kind: 'committed', version: 1 }]);
    const winner = { version: 1, changeId: 'a', who: 'operator of a', when: 1 };
    expect(outcomes(second)).to.deep.equal([{ kind: 'conflict', winner }]);
    expect(second.settings.get('teamLimit')).to.equal(1);
  });

  it('settles a write whose response was lost by its change id, even after a later version was accepted', () => {
    const table = new FakeTable();
    const [first, second] = [newReplica(1), newReplica(2)];
    first.propose(proposal('a', setTeamLimit(1)));
    step(first, table, 0);
    step(first, table, 1, 'lost-after');
    second.propose(proposal('b', setTeamLimit(2)));
    settle(second, table);
    settle(first, table, 10);
    expect(outcomes(first)).to.deep.equal([{ kind: 'committed', version: 1 }]);
    expect(table.accepted).to.deep.equal(['a', 'b']);
    expect(first.settings.get('teamLimit')).to.equal(2);
  });

  it('keeps the last valid version in force over corrupt rows, newer formats and missing rows', () => {
    const table = new FakeTable();
    const replica = newReplica(1);
    replica.propose(proposal('a', setTeamLimit(7)));
    settle(replica, table);
    expect(outcomes(replica)[0]?.kind).to.equal('committed');
    const good = table.rows.get('head')!;
    const bad = [
      { value: { format: 9, what: 'ever' }, kind: 'newer-format' },
      { value: { format: 1, record: { version: 1e99 } }, kind: 'corrupt' },
      { value: null, kind: 'corrupt' },
    ];
    for (const [index, { value, kind }] of bad.entries()) {
      table.rows.set('head', { ...good, value });
      replica.propose(proposal(`late-${index}`, setTeamLimit(8)));
      settle(replica, table, 100_000 * (index + 1));
      expect(replica.problem?.kind).to.equal(kind);
      expect(outcomes(replica)[0]?.kind).to.equal('unreadable');
    }
    table.rows.delete('head');
    settle(replica, table, 900_000);
    expect(replica.problem?.kind).to.equal('behind');
    expect(replica.settings.get('teamLimit')).to.equal(7);
    table.rows.set('head', good);
    settle(replica, table, 1_000_000);
    expect(replica.problem).to.equal(undefined);
  });

  it('is ready only once the table or, with the table down, its peers have brought it up to date', () => {
    const table = new FakeTable();
    const established = newReplica(1);
    established.propose(proposal('a', setTeamLimit(7)));
    settle(established, table);
    const joining = newReplica(2);
    step(joining, table, 0, 'down');
    expect(joining.isReady(instant(60_000))).to.equal(false);
    joining.applyPeerVersion(routerId('old'), established.version, instant(0));
    expect(joining.isReady(instant(60_000))).to.equal(false);
    expect(joining.applySnapshot(established.snapshot)).to.equal('applied');
    expect(joining.isReady(instant(60_000))).to.equal(true);
  });

  it('rejects invalid changes with the kind of the problem', () => {
    const table = new FakeTable();
    const replica = newReplica(1);
    const changes: [ConfigurationChange, string][] = [
      [{ kind: 'set-defaults', values: { loadBound: -1 } }, 'wrong-value'],
      [{ kind: 'set-defaults', values: { nonsense: 1 } }, 'unknown-setting'],
      [{ kind: 'remove-exception', id: 'x' }, 'no-such-exception'],
    ];
    for (const [index, [change]] of changes.entries()) {
      replica.propose(proposal(`c${index}`, change));
    }
    settle(replica, table);
    const kinds = outcomes(replica).map(outcome =>
      outcome.kind === 'invalid' ? outcome.problem.kind : outcome.kind,
    );
    expect(kinds).to.deep.equal(changes.map(([, kind]) => kind));
    expect(table.accepted).to.deep.equal([]);
  });

  it('never reverts, never accepts a change twice and never misreports a result under seeded faults', () => {
    for (let seed = SEED; seed < SEED + 300; seed += 1) {
      runHistory(seed);
    }
  });
});

/** Three replicas write concurrently to a faulty table and exchange accepted changes. */
function runHistory(seed: number): void {
  const random = new Random(seed);
  const table = new FakeTable();
  const replicas = [0, 1, 2].map(index => newReplica(seed + index));
  const versions = [0, 0, 0];
  const results = new Map<string, ProposalOutcome>();
  const faults: Fault[] = [
    'none',
    'none',
    'none',
    'lost-before',
    'lost-after',
    'down',
    'limited',
  ];
  let now = 0;
  function checkReplica(index: number): void {
    const replica = replicas[index]!;
    expect(replica.version, `seed ${seed}`).to.be.at.least(versions[index]!);
    versions[index] = replica.version;
    for (const { changeId: id, outcome } of replica.takeResults()) {
      expect(results.has(id), `seed ${seed}`).to.equal(false);
      results.set(id, outcome);
    }
  }
  for (let round = 0; round < 150; round += 1) {
    now += random.integer(0, 1500);
    const index = random.integer(0, 2);
    const replica = replicas[index]!;
    if (random.fraction() < 0.15) {
      replica.propose(proposal(`${seed}-${round}`, setTeamLimit(round)));
    }
    if (random.fraction() < 0.2) {
      const source = random.pick(replicas);
      for (const record of source.recordsAfter(replica.version) ?? []) {
        replica.applyRecord(record);
      }
    }
    step(replica, table, now, random.pick(faults));
    checkReplica(index);
  }
  for (const [index, replica] of replicas.entries()) {
    settle(replica, table, now + 10_000);
    checkReplica(index);
    expect(replica.version, `seed ${seed}`).to.be.at.most(
      table.accepted.length,
    );
  }
  for (const [id, outcome] of results) {
    const acceptedAt = table.accepted.indexOf(id) + 1;
    const expectedAt = outcome.kind === 'committed' ? outcome.version : 0;
    expect(acceptedAt, `seed ${seed} ${id} ${outcome.kind}`).to.equal(
      expectedAt,
    );
    expect(table.accepted.lastIndexOf(id)).to.equal(acceptedAt - 1);
  }
}
