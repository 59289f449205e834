import { expect } from 'chai';

import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { FIRST_ERA, revision } from '../store/feed-position';
import { endpointId, serviceId, softwareVersion, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { streamLifetime, VersionHistory } from './version-history';

const service = serviceId('s');
const LIFETIME = seconds(30);

const entry = (version: string | undefined): EndpointEntry => ({
  id: endpointId(`e-${version}`),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: version === undefined ? undefined : softwareVersion(version),
});

describe('VersionHistory', () => {
  let history: VersionHistory;

  beforeEach(() => {
    history = new VersionHistory(() => LIFETIME);
  });

  it('knows nothing before it has observed a whole lifetime, unless it is told', () => {
    history.observe([entry('v1')], instant(0));
    expect(history.versionOfStreams(service, instant(29_000)).kind).to.equal(
      'unknown',
    );
    history.observe([entry('v1')], instant(30_000));
    expect(history.versionOfStreams(service, instant(30_000))).to.deep.equal({
      kind: 'single',
      version: 'v1',
    });
    const told = new VersionHistory(() => LIFETIME);
    told.observe([entry('v1')], instant(0));
    told.markComplete();
    expect(told.versionOfStreams(service, instant(0)).kind).to.equal('single');
  });

  // Guards against streams of a version that has just left and go on at its successor.
  it('counts a version for a lifetime after its last endpoint was seen', () => {
    history.markComplete();
    history.observe([entry('v1')], instant(0));
    history.observe([entry('v1'), entry('v2')], instant(1000));
    history.observe([entry('v2')], instant(2000));
    expect(history.isMixed(service, instant(30_000))).to.equal(true);
    history.observe([entry('v2')], instant(31_001));
    expect(history.versionOfStreams(service, instant(31_001))).to.deep.equal({
      kind: 'single',
      version: 'v2',
    });
  });

  it('takes an endpoint without a version for one of another', () => {
    history.markComplete();
    history.observe([entry('v1'), entry(undefined)], instant(0));
    expect(history.versionOfStreams(service, instant(0)).kind).to.equal(
      'several',
    );
    const unnamed = new VersionHistory(() => LIFETIME);
    unnamed.markComplete();
    unnamed.observe([entry(undefined)], instant(0));
    expect(unnamed.versionOfStreams(service, instant(0)).kind).to.equal(
      'several',
    );
  });

  // Guards against a gap in the changes of the endpoints that is taken for a complete history.
  it('is incomplete after missed changes until one who saw them tells it, or a lifetime has passed', () => {
    const at = (number: number) => ({
      era: FIRST_ERA,
      revision: revision(number),
    });
    history.markComplete();
    history.observe([entry('v1')], instant(0));
    history.markMissed(at(10));
    expect(history.isComplete(instant(0))).to.equal(false);
    history.markComplete();
    history.markComplete(at(9));
    expect(history.isComplete(instant(0))).to.equal(false);
    history.markComplete(at(10));
    expect(history.isComplete(instant(0))).to.equal(true);
    history.markMissed(at(20));
    history.observe([entry('v1')], instant(1000));
    expect(history.isComplete(instant(30_999))).to.equal(false);
    expect(history.isComplete(instant(31_000))).to.equal(true);
    expect(history.hasMissed).to.equal(false);
  });

  // Guards against the word of a peer that is itself behind, at a router that has just started.
  it('takes no history for complete that ends before its first list of endpoints', () => {
    const firstList = 20;
    history.observe([entry('v1')], instant(0));
    history.markComplete({
      era: FIRST_ERA,
      revision: revision(firstList - 10),
    });
    expect(history.isComplete(instant(0))).to.equal(false);
  });

  it('never takes an older use for the last one', () => {
    const version = softwareVersion('v1');
    history.record({ service, version, lastSeenAt: instant(50_000) });
    history.record({ service, version, lastSeenAt: instant(10_000) });
    expect(history.versions(service, instant(60_000))).to.deep.equal(['v1']);
  });
});

describe('streamLifetime', () => {
  it('is twice the longest timeout, and long enough before any route is known', () => {
    expect(streamLifetime([])).to.equal(30_000);
    expect(streamLifetime([seconds(5), seconds(40)])).to.equal(80_000);
  });
});
