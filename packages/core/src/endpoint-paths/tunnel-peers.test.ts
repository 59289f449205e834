import { expect } from 'chai';

import { incarnation, routerId, zoneId } from '../types/ids';
import { instant } from '../types/units';
import { TunnelPeers } from './tunnel-peers';

const router = (name: string, zone: string) => ({
  id: routerId(name),
  incarnation: incarnation(1),
  zone: zoneId(zone),
  address: { host: '10.0.0.1', port: 1 },
  power: 1,
});

const fleet = (size: number) =>
  Array.from({ length: size }, (_value, index) =>
    router(`r-${index}`, `z-${index % 3}`),
  );

describe('TunnelPeers', () => {
  it('tries routers of the own zone and of others by turns, as a whole zone may be cut off', () => {
    const peers = new TunnelPeers(routerId('self'), zoneId('z-0'));
    const zones = peers.rank(fleet(18), instant(0)).map(({ zone }) => zone);
    expect(zones[0]).to.equal('z-0');
    expect(zones[1]).to.not.equal('z-0');
    expect(zones).to.have.length(8);
  });

  it('tries the router that worked last first, and those that failed last', () => {
    const peers = new TunnelPeers(routerId('self'), zoneId('z-0'));
    const [first, , third] = peers.rank(fleet(6), instant(0));
    peers.recordFailure(first!.id, instant(0));
    peers.recordSuccess(third!.id);
    const ids = peers.rank(fleet(6), instant(1)).map(({ id }) => id);
    expect(ids[0]).to.equal(third!.id);
    expect(ids.at(-1)).to.equal(first!.id);
    peers.recordFailure(third!.id, instant(1));
    expect(peers.rank(fleet(6), instant(2500))[0]!.id).to.equal(first!.id);
  });

  for (const size of [18, 370]) {
    it(`spreads the cut routers of ${size} over the others`, () => {
      const all = fleet(size);
      const chosen = new Map<string, number>();
      for (const { id, zone } of all) {
        const others = all.filter(other => other.id !== id);
        const [first] = new TunnelPeers(id, zone).rank(others, instant(0));
        chosen.set(first!.id, (chosen.get(first!.id) ?? 0) + 1);
      }
      expect(Math.max(...chosen.values())).to.be.at.most(7);
    });
  }
});
