import { expect } from 'chai';

import { instant } from '../types/units';
import { EndpointPaths } from './endpoint-paths';
import type { PathChange } from './endpoint-paths';

const address = (port: number) => ({ host: '10.0.0.1', port });
const at = instant;

describe('EndpointPaths', () => {
  it('asks peers first for an endpoint that only they reached, and tries the direct path now and then', () => {
    const paths = new EndpointPaths();
    expect(paths.mode(address(1), at(0))).to.equal('direct');
    paths.recordPeer(address(1), 'timeout', at(0));
    expect(paths.mode(address(1), at(500))).to.equal('peer');
    expect(paths.mode(address(2), at(500))).to.equal('direct');
    expect(paths.mode(address(1), at(1000))).to.equal('direct');
    paths.recordPeer(address(1), 'timeout', at(1000));
    expect(paths.mode(address(1), at(2500))).to.equal('peer');
    expect(paths.mode(address(1), at(3000))).to.equal('direct');
  });

  it('takes the router for isolated after two cut paths in a row, until a direct connection', () => {
    const paths = new EndpointPaths();
    paths.recordPeer(address(1), 'timeout', at(0));
    paths.recordDirect(address(9));
    paths.recordPeer(address(2), 'timeout', at(10));
    expect(paths.isIsolated).to.equal(false);
    paths.recordPeer(address(3), 'timeout', at(20));
    expect(paths.isIsolated).to.equal(true);
    expect(paths.mode(address(4), at(30))).to.equal('peer');
    expect(paths.isCut(address(4))).to.equal(true);
    paths.recordDirect(address(3));
    expect(paths.isIsolated).to.equal(false);
    expect(paths.mode(address(4), at(40))).to.equal('direct');
  });

  it('asks no peers for a while about an endpoint that they did not reach, which is no cut', () => {
    const paths = new EndpointPaths();
    for (const port of [1, 2, 3]) {
      paths.recordUnreachable(address(port), at(0));
      expect(paths.mode(address(port), at(900))).to.equal('direct-only');
      expect(paths.mode(address(port), at(1000))).to.equal('direct');
    }
    expect(paths.isIsolated).to.equal(false);
  });

  it('does not count the paths to endpoints that are gone', () => {
    const paths = new EndpointPaths();
    paths.recordPeer(address(1), 'timeout', at(0));
    paths.recordPeer(address(2), 'timeout', at(10));
    paths.retain([address(2)]);
    expect([paths.isIsolated, paths.cutCount]).to.deep.equal([false, 1]);
  });

  it('reports the beginning and the end of a cut once', () => {
    const changes: PathChange[] = [];
    const paths = new EndpointPaths();
    paths.onChanged(change => {
      changes.push(change);
    });
    paths.recordDirect(address(1));
    paths.recordPeer(address(1), 'refused', at(0));
    paths.recordPeer(address(1), 'refused', at(1));
    paths.recordPeer(address(1), 'refused', at(1001));
    paths.recordDirect(address(1));
    expect(changes.map(({ isCut, kind }) => [isCut, kind])).to.deep.equal([
      [true, 'refused'],
      [false, undefined],
    ]);
  });
});
