import { expect } from 'chai';

import { RouterTable } from '../membership/router-table';
import { EventBuffer } from '../timeline/event-buffer';
import { HybridClock } from '../timeline/hybrid-clock';
import { incarnation, routerId, zoneId } from '../types/ids';
import { instant } from '../types/units';
import { TaskAssignment } from './task-assignment';

const DUTIES = Array.from({ length: 200 }, (_, index) => `watch:${index}`);

function identity(name: string) {
  return {
    id: routerId(name),
    incarnation: incarnation(1),
    zone: zoneId('a'),
    address: { host: '127.0.0.1', port: 7000 },
  };
}

function rosterOf(self: string, others: readonly string[]) {
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
    roster: new TaskAssignment({ routers, now: () => now }),
    wait: (until: number) => (now = instant(until)),
  };
}

describe('DutyRoster', () => {
  it('gives every duty one owner that all routers agree on', () => {
    const first = rosterOf('r1', ['r2', 'r3']);
    const second = rosterOf('r2', ['r1', 'r3']);
    for (const duty of DUTIES) {
      expect(first.roster.ownerOf(duty)).to.equal(second.roster.ownerOf(duty));
    }
  });

  it('moves only the duties of a router that leaves or is unreachable', () => {
    const { routers, roster, wait } = rosterOf('r1', ['r2', 'r3', 'r4']);
    const before = new Map(DUTIES.map(duty => [duty, roster.ownerOf(duty)]));
    routers.markLeaving(
      routerId('r2'),
      incarnation(1),
      'announced',
      instant(1),
    );
    routers.onDisconnected(routerId('r3'), instant(1));
    wait(4000);
    for (const [duty, owner] of before) {
      const now = roster.ownerOf(duty);
      if (owner === 'r1' || owner === 'r4') {
        expect(now).to.equal(owner);
      } else {
        expect(now).to.be.oneOf(['r1', 'r4']);
      }
    }
    routers.leave();
    expect(new Set(DUTIES.map(duty => roster.ownerOf(duty)))).to.deep.equal(
      new Set(['r4']),
    );
  });

  it('follows a listed leaving whatever number the router gives itself', () => {
    const { routers, roster } = rosterOf('r1', ['r2']);
    const line = { vm: 'r2', kind: 'router', host: '127.0.0.1', port: 7000 };
    const list = (start: number, state: string) => {
      const rest = { zone: 'a', capacity: 0, incarnation: start, state };
      routers.onVmList([{ ...line, ...rest }], instant(2));
      return new Set(DUTIES.map(duty => roster.ownerOf(duty))).size;
    };
    expect(list(7, 'live')).to.equal(2);
    expect(list(7, 'leaving')).to.equal(1);
    expect(list(7, 'live')).to.equal(1);
    expect(list(6, 'live')).to.equal(1);
    expect(list(8, 'live')).to.equal(2);
    expect(routers.get(routerId('r2'))?.incarnation).to.equal(1);
  });

  it('records once that a router became unreachable, and its return', () => {
    const { routers, events } = rosterOf('r1', ['r2']);
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
