import { expect } from 'chai';

import { routerId } from '../types/ids';
import type { RouterId } from '../types/ids';
import { selectRelays } from './relay-selection';

const routers = Array.from({ length: 40 }, (_, at) => routerId(`r${at}`));
const all = new Set(routers);

const choose = (self: RouterId, connected: ReadonlySet<RouterId>) =>
  selectRelays({
    self,
    known: routers.map(id => ({ id, power: 1 })),
    connected,
  });

describe('chooseRelays', () => {
  it('gives every router the same two relays, which know that they are', () => {
    const links = new Set(routers.flatMap(self => choose(self, all).links));
    expect(links.size).to.equal(2);
    const relays = routers.filter(self => choose(self, all).isRelay);
    expect(new Set(relays)).to.deep.equal(links);
  });

  it('goes down the ranks while relays are not heard, and keeps trying them', () => {
    const self = routers.find(router => !choose(router, all).isRelay)!;
    const [first, second] = choose(self, all).links;
    const without = new Set(routers.filter(router => router !== first));
    const { links } = choose(self, without);
    expect(links).to.have.length(3);
    expect(links.slice(0, 2)).to.deep.equal([first, second]);
  });

  it('takes the strongest VMs of an uneven fleet for relays', () => {
    const known = routers.map((id, at) => ({
      id,
      power: at % 10 === 3 ? 1.35 : 0.227,
    }));
    const strong = new Set(['r3', 'r13', 'r23', 'r33'].map(routerId));
    for (const self of routers) {
      const { links } = selectRelays({ self, known, connected: all });
      expect(links.every(link => strong.has(link))).to.equal(true);
    }
  });

  it('tries a few at once when nobody is heard, as a start of all would mesh all', () => {
    const { links } = choose(routers[0]!, new Set());
    expect(links).to.have.length(6);
  });
});
