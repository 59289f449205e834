import { expect } from 'chai';
import fc from 'fast-check';

import {
  attemptId,
  endpointId,
  fingerprint,
  incarnation,
  routerId,
} from '../types/ids';
import { bytes, instant } from '../types/units';
import { crashId } from './suspect';
import { SuspectRegistry } from './suspect-registry';
import type { SuspectDecision } from './suspect-registry';
import { SuspectTable, MAX_SUSPECTS } from './suspect-table';
import { SuspectTopic } from './suspect-topic';
import { TrialOwner } from './trial-owner';
import { MAX_TRIAL_HOLD } from './trial-requester';

const engines = ['e1', 'e2', 'e3', 'e4'].map(endpointId);
const [e1, e2, e3] = [engines[0]!, engines[1]!, engines[2]!];
const poison = fingerprint('poison');
const innocent = fingerprint('innocent');
const first = incarnation(1);
const start = instant(0);

class Fleet {
  readonly ids = ['r1', 'r2', 'r3', 'r4', 'r5'].map(routerId);
  readonly registries = this.ids.map(id => new SuspectRegistry(id));
  readonly topics = this.registries.map(entry => new SuspectTopic(entry));

  constructor() {
    for (const registry of this.registries) {
      registry.onRoutersChanged(this.ids, instant(-60_000));
    }
  }

  router(index: number): SuspectRegistry {
    return this.registries[index]!;
  }

  exchange(now = start, rounds = 4): void {
    for (let round = 0; round < rounds; round += 1) {
      for (const [from, topic] of this.topics.entries()) {
        for (const [to, other] of this.topics.entries()) {
          if (from !== to) {
            const taken = topic.take(this.ids[to]!, bytes(10_000), now);
            const entries = JSON.parse(JSON.stringify(taken)) as unknown[];
            expect(other.receive(this.ids[from]!, entries, now)).to.equal(0);
          }
        }
      }
    }
  }

  /** Crashes e1 while router 0 runs the poison and an innocent request there. */
  crashFirst(): void {
    this.router(0).onAttemptStarted(attemptId('p'), poison, e1, first);
    this.router(0).onAttemptStarted(attemptId('i'), innocent, e1, first);
    this.router(0).onEndpointCrash(e1, first, start);
  }
}

describe('SuspectRegistry', () => {
  it('lets a caller know of the crash only after every router does', () => {
    const fleet = new Fleet();
    fleet.crashFirst();
    expect(fleet.router(0).canRespond(poison, start)).to.equal(false);
    fleet.exchange();
    expect(fleet.router(0).canRespond(poison, start)).to.equal(true);
    for (const router of fleet.registries) {
      expect(router.suspicion(poison)).to.equal('suspect');
    }
    fleet.crashFirst();
    expect(fleet.router(0).canRespond(poison, instant(2000))).to.equal(true);
  });

  it('lets one router at a time try a suspect, apart from other suspects', () => {
    const fleet = new Fleet();
    fleet.crashFirst();
    fleet.exchange();
    const decide = (id = poison) =>
      fleet.registries.map(router => router.decide(id, [e2, e3], start));
    const decisions = [decide(), decide(innocent)];
    fleet.exchange();
    decisions.push(decide(), decide(innocent));
    const isolated = (rounds: SuspectDecision[][]) =>
      rounds.flatMap(all =>
        all.flatMap((decision, router) =>
          decision.kind === 'run-isolated'
            ? [`${router} ${decision.endpoint}`]
            : [],
        ),
      );
    const tried = new Set(isolated([decisions[0]!, decisions[2]!]));
    const other = new Set(isolated([decisions[1]!, decisions[3]!]));
    expect([tried.size, other.size]).to.deep.equal([1, 1]);
    const [router, endpoint] = [...tried].join().split(' ');
    expect([...other].join()).not.to.include(endpoint);
    const holder = fleet.router(Number(router));
    holder.onAttemptStarted(
      attemptId('t'),
      poison,
      endpointId(endpoint!),
      first,
    );
    expect(holder.decide(poison, [e2, e3], start).kind).to.equal('hold');
  });

  it('condemns at the second crash and clears what ran to its end', () => {
    const fleet = new Fleet();
    fleet.crashFirst();
    fleet.exchange();
    const router = fleet.router(2);
    router.decide(poison, [e2], start);
    router.decide(innocent, [e3], start);
    fleet.exchange();
    expect(router.decide(poison, [e2], start)).to.deep.equal({
      kind: 'run-isolated',
      endpoint: e2,
    });
    router.onAttemptStarted(attemptId('p2'), poison, e2, first);
    expect(router.decide(innocent, [e3], start).kind).to.equal('run-isolated');
    router.onAttemptStarted(attemptId('i2'), innocent, e3, first);
    expect(router.onAttemptEnded(attemptId('i2'), 'finished', start)).to.equal(
      true,
    );
    router.onEndpointCrash(e2, first, start);
    fleet.exchange();
    for (const each of fleet.registries) {
      expect(each.decide(poison, engines, start).kind).to.equal('refuse');
      expect(each.decide(innocent, engines, start).kind).to.equal('run');
    }
  });

  it('gives up a hold when no keeper answers', () => {
    const fleet = new Fleet();
    fleet.crashFirst();
    fleet.exchange();
    const apart = fleet.registries.find(
      router => router.decide(poison, [e2], start).kind === 'hold',
    )!;
    expect(
      apart.decide(poison, [e2], instant(MAX_TRIAL_HOLD - 1)).kind,
    ).to.equal('hold');
    expect(apart.decide(poison, [e2], instant(MAX_TRIAL_HOLD)).kind).to.equal(
      'refuse',
    );
  });

  it('refuses malformed messages and is not steered by any value', () => {
    const registry = new SuspectRegistry(routerId('r1'));
    const topic = new SuspectTopic(registry);
    const peer = routerId('r2');
    const field = fc.oneof(
      fc.string(),
      fc.constantFrom<unknown>(-1, NaN, Infinity, 1e300, null, []),
      fc.array(fc.string(), { maxLength: 12 }),
      fc.double(),
    );
    const message = fc.record({
      kind: fc.constantFrom(
        'suspect',
        'known',
        'ask',
        'grant',
        'running',
        'ended',
        'other',
      ),
      id: field,
      crashes: field,
      cleared: field,
      age: field,
      version: field,
      endpoint: field,
      endpoints: field,
    });
    fc.assert(
      fc.property(fc.array(fc.oneof(message, fc.anything())), entries => {
        topic.receive(peer, entries, start);
        registry.tick(start);
        for (const entry of topic.take(peer, bytes(500), start)) {
          expect(topic.receive(peer, [entry], start)).to.equal(0);
        }
        expect(registry.decide(poison, engines, start).kind).to.equal('run');
      }),
      { seed: 4, numRuns: 300 },
    );
    expect(topic.receive(peer, [{ kind: 'grant' }, 7], start)).to.equal(2);
  });
});

describe('TrialKeeper', () => {
  it('counts a trial as run on an endpoint only once it was sent there', () => {
    const keeper = new TrialOwner();
    const router = routerId('r1');
    expect(keeper.grant(innocent, router, [e1], start)).to.equal(e1);
    expect(keeper.suspectsRunningOn(e1)).to.deep.equal([]);
    keeper.recordRun(innocent, router, e1, start);
    expect(keeper.suspectsRunningOn(e1)).to.deep.equal([innocent]);
  });
});

describe('SuspectTable', () => {
  it('reaches the same rows in whatever order changes arrive', () => {
    const ids = ['a', 'b', 'c', 'd'].map(crashId);
    const change = fc.record({
      crashes: fc.subarray(ids),
      cleared: fc.subarray(ids),
    });
    fc.assert(
      fc.property(fc.array(change), changes => {
        const [left, right] = [new SuspectTable(), new SuspectTable()];
        const put = (table: SuspectTable, entry: (typeof changes)[number]) =>
          table.merge({
            id: poison,
            crashes: new Set(entry.crashes),
            cleared: new Set(entry.cleared),
            seenAt: start,
          });
        changes.forEach(entry => put(left, entry));
        changes.toReversed().forEach(entry => put(right, entry));
        expect(left.get(poison)?.crashes).to.deep.equal(
          right.get(poison)?.crashes,
        );
        expect(left.get(poison)?.cleared).to.deep.equal(
          right.get(poison)?.cleared,
        );
      }),
      { seed: 4 },
    );
  });

  it('stays bounded and evicts condemned content last', () => {
    const table = new SuspectTable();
    table.recordCrash(poison, crashId('a'), start);
    table.recordCrash(poison, crashId('b'), start);
    for (let index = 0; index < MAX_SUSPECTS + 10; index += 1) {
      const id = fingerprint(`f${index}`);
      table.recordCrash(id, crashId('a'), instant(index + 1));
    }
    expect(table.size).to.equal(MAX_SUSPECTS);
    expect(table.get(poison)?.crashes.size).to.equal(2);
  });
});
