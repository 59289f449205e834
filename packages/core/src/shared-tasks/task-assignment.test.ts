import { expect } from 'chai';

import { RouterTable } from '../membership/router-table';
import { EventBuffer } from '../timeline/event-buffer';
import { HybridClock } from '../timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '../types/ids';
import { instant } from '../types/units';
import { TaskAssignment } from './task-assignment';

const TASKS = Array.from({ length: 200 }, (_, index) => `watch:${index}`);

function identity(name: string) {
  return {
    id: routerId(name),
    incarnation: incarnation(1),
    zone: zoneId('a'),
    address: { host: '127.0.0.1', port: 7000 },
  };
}

function createRouter(self: string, others: readonly string[]) {
  const clock = new HybridClock(() => 0);
  const recorder = new EventBuffer({ process: self, incarnation: 1, clock });
  const routers = new RouterTable({ self: identity(self), recorder });
  for (const other of others) {
    routers.onConnected(identity(other), instant(0));
  }
  let now = instant(0);
  return {
    routers,
    events: () =>
      recorder.after(0).events.map(({ kind, links, detail }) => {
        return `${kind} ${links.router} ${detail?.cause}`.trim();
      }),
    assignment: new TaskAssignment({ routers, now: () => now }),
    setTime: (until: number) => (now = instant(until)),
  };
}

describe('TaskAssignment', () => {
  it('assigns each task the same owner at all routers', () => {
    const first = createRouter('r1', ['r2', 'r3']);
    const second = createRouter('r2', ['r1', 'r3']);
    for (const task of TASKS) {
      expect(first.assignment.ownerOf(task)).to.equal(
        second.assignment.ownerOf(task),
      );
    }
  });

  it('moves only the tasks of routers that leave or are unreachable', () => {
    const { routers, assignment, setTime } = createRouter('r1', [
      'r2',
      'r3',
      'r4',
    ]);
    const before = new Map(TASKS.map(task => [task, assignment.ownerOf(task)]));
    routers.markLeaving(
      routerId('r2'),
      incarnation(1),
      'announced',
      instant(1),
    );
    routers.onDisconnected(routerId('r3'), instant(1));
    setTime(4000);
    for (const [task, owner] of before) {
      const newOwner = assignment.ownerOf(task);
      if (owner === 'r1' || owner === 'r4') {
        expect(newOwner).to.equal(owner);
      } else {
        expect(newOwner).to.be.oneOf(['r1', 'r4']);
      }
    }
    routers.leave();
    expect(new Set(TASKS.map(task => assignment.ownerOf(task)))).to.deep.equal(
      new Set(['r4']),
    );
  });

  it('follows the leaving state of the list whatever incarnation the router announces', () => {
    const { routers, assignment } = createRouter('r1', ['r2']);
    const vm = { vm: 'r2', kind: 'router', host: '127.0.0.1', port: 7000 };
    const list = (start: number, state: string) => {
      const fields = { zone: 'a', capacity: 0, incarnation: start, state };
      routers.onVmList([{ ...vm, ...fields }], instant(2));
      return new Set(TASKS.map(task => assignment.ownerOf(task))).size;
    };
    expect(list(7, 'live')).to.equal(2);
    expect(list(7, 'leaving')).to.equal(1);
    expect(list(7, 'live')).to.equal(1);
    expect(list(6, 'live')).to.equal(1);
    expect(list(8, 'live')).to.equal(2);
    expect(routers.get(routerId('r2'))?.incarnation).to.equal(1);
  });

  it('records once that a router became unreachable, and once its return', () => {
    const { routers, events } = createRouter('r1', ['r2']);
    routers.onDisconnected(routerId('r2'), instant(1));
    for (const now of [10, 2000, 4000, 5000]) {
      routers.tick(instant(now));
    }
    routers.onConnected(identity('r2'), instant(6000));
    routers.onConnected(identity('r2'), instant(6001));
    routers.tick(instant(9000));
    expect(events()).to.deep.equal([
      'router-joined r2',
      'router-gone r2 unreachable',
      'router-joined r2',
    ]);
  });
});
