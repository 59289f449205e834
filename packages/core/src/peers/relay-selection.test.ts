import { expect } from 'chai';

import { routerId } from '../types/ids';
import type { RouterId } from '../types/ids';
import { selectRelays } from './relay-selection';

const routers = Array.from({ length: 40 }, (_, at) => routerId(`r${at}`));
const all = new Set(routers);

const select = (self: RouterId, connected: ReadonlySet<RouterId>) =>
  selectRelays({
    self,
    known: routers.map(id => ({ id, power: 1 })),
    connected,
  });

describe('selectRelays', () => {
  it('selects the same two relays at every router, and both relays know their role', () => {
    const links = new Set(routers.flatMap(self => select(self, all).links));
    expect(links.size).to.equal(2);
    const relays = routers.filter(self => select(self, all).isRelay);
    expect(new Set(relays)).to.deep.equal(links);
  });

  it('lets one relay read the store, and the next one when the first is not connected', () => {
    const readers = routers.filter(self => select(self, all).isReader);
    expect(readers).to.have.length(1);
    const [first] = readers;
    const without = new Set(routers.filter(router => router !== first));
    const next = routers.filter(
      self => self !== first && select(self, without).isReader,
    );
    expect(next).to.have.length(1);
    expect(select(next[0]!, all).isRelay).to.equal(true);
  });

  // Guards against calls to the store by each of the routers that start at the same moment.
  it('lets no router read the store for others that it does not reach', () => {
    const known = routers.map(id => ({ id, power: 1 }));
    const isReader = (self: RouterId, options: object) =>
      selectRelays({ self, known, connected: new Set(), ...options }).isReader;
    const isJoining = { hasSubscribers: false };
    expect(routers.filter(self => isReader(self, isJoining))).to.deep.equal([]);
    const isAlone = { ...isJoining, known: known.slice(0, 1) };
    expect(isReader(routers[0]!, isAlone)).to.equal(true);
  });

  it('adds lower ranks while relays are not connected, and keeps trying those', () => {
    const self = routers.find(router => !select(router, all).isRelay)!;
    const [first, second] = select(self, all).links;
    const without = new Set(routers.filter(router => router !== first));
    const { links } = select(self, without);
    expect(links).to.have.length(3);
    expect(links.slice(0, 2)).to.deep.equal([first, second]);
  });

  it('selects the strongest VMs of an uneven fleet', () => {
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

  it('tries a few routers while none is connected, as a fleet restart would otherwise form a full mesh', () => {
    const { links } = select(routers[0]!, new Set());
    expect(links).to.have.length(6);
  });
});
