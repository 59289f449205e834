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
      for (const [sender, topic] of this.topics.entries()) {
        for (const [receiver, other] of this.topics.entries()) {
          if (sender !== receiver) {
            const taken = topic.take(this.ids[receiver]!, bytes(10_000), now);
            const entries = JSON.parse(JSON.stringify(taken)) as unknown[];
            expect(other.receive(this.ids[sender]!, entries, now)).to.equal(0);
          }
        }
      }
    }
  }

  /** Crashes e1 while router 0 runs the poison and an innocent request there. */
  crashFirstEngine(): void {
    this.router(0).onAttemptStarted(attemptId('p'), poison, e1, first);
    this.router(0).onAttemptStarted(attemptId('i'), innocent, e1, first);
    this.router(0).onEndpointCrash(e1, first, start);
  }
}

describe('SuspectRegistry', () => {
  it('lets a caller get its response only after every router has acknowledged the suspect', () => {
    const fleet = new Fleet();
    fleet.crashFirstEngine();
    expect(fleet.router(0).canRespond(poison, start)).to.equal(false);
    fleet.exchange();
    expect(fleet.router(0).canRespond(poison, start)).to.equal(true);
    for (const router of fleet.registries) {
      expect(router.suspicion(poison)).to.equal('suspect');
    }
    fleet.crashFirstEngine();
    expect(fleet.router(0).canRespond(poison, instant(2000))).to.equal(true);
  });

  it('grants the trial of a suspect to one router, on an endpoint without another trial', () => {
    const fleet = new Fleet();
    fleet.crashFirstEngine();
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
    const poisonTrials = new Set(isolated([decisions[0]!, decisions[2]!]));
    const innocentTrials = new Set(isolated([decisions[1]!, decisions[3]!]));
    expect([poisonTrials.size, innocentTrials.size]).to.deep.equal([1, 1]);
    const [router, endpoint] = [...poisonTrials].join().split(' ');
    expect([...innocentTrials].join()).not.to.include(endpoint);
    const granted = fleet.router(Number(router));
    granted.onAttemptStarted(
      attemptId('t'),
      poison,
      endpointId(endpoint!),
      first,
    );
    expect(granted.decide(poison, [e2, e3], start).kind).to.equal('hold');
  });

  it('condemns content at its second crash and clears other content after a complete response', () => {
    const fleet = new Fleet();
    fleet.crashFirstEngine();
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

  it('refuses held content when no owner grants a trial', () => {
    const fleet = new Fleet();
    fleet.crashFirstEngine();
    fleet.exchange();
    const requester = fleet.registries.find(
      router => router.decide(poison, [e2], start).kind === 'hold',
    )!;
    expect(
      requester.decide(poison, [e2], instant(MAX_TRIAL_HOLD - 1)).kind,
    ).to.equal('hold');
    expect(
      requester.decide(poison, [e2], instant(MAX_TRIAL_HOLD)).kind,
    ).to.equal('refuse');
  });

  it('rejects malformed messages and still runs content that none of them names', () => {
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

describe('TrialOwner', () => {
  it('counts a trial as running on an endpoint only after the suspect was sent there', () => {
    const owner = new TrialOwner();
    const router = routerId('r1');
    expect(owner.grant(innocent, router, [e1], start)).to.equal(e1);
    expect(owner.suspectsRunningOn(e1)).to.deep.equal([]);
    owner.recordRun(innocent, router, e1, start);
    expect(owner.suspectsRunningOn(e1)).to.deep.equal([innocent]);
  });
});

describe('SuspectTable', () => {
  it('converges on the same rows regardless of the order of changes', () => {
    const ids = ['a', 'b', 'c', 'd'].map(crashId);
    const change = fc.record({
      crashes: fc.subarray(ids),
      cleared: fc.subarray(ids),
    });
    fc.assert(
      fc.property(fc.array(change), changes => {
        const [left, right] = [new SuspectTable(), new SuspectTable()];
        const merge = (table: SuspectTable, entry: (typeof changes)[number]) =>
          table.merge({
            id: poison,
            crashes: new Set(entry.crashes),
            cleared: new Set(entry.cleared),
            seenAt: start,
          });
        changes.forEach(entry => merge(left, entry));
        changes.toReversed().forEach(entry => merge(right, entry));
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
