import { expect } from 'chai';

import type { ServiceId } from '../types/ids';
import {
  endpointId,
  requestId,
  serviceId,
  softwareVersion,
} from '../types/ids';
import { instant, seconds } from '../types/units';
import { keyOfStream, StreamOrigins } from './stream-origins';
import { VersionHistory } from './version-history';

const service = serviceId('s');
const other = serviceId('other');
const v1 = softwareVersion('v1');
const LIFETIME = seconds(30);
const MAX = 100;

describe('StreamOrigins', () => {
  let history: VersionHistory;
  let origins: StreamOrigins;
  const shared = new Set<ServiceId>();

  const record = (version: string, at: number) => {
    history.record({
      service,
      version: softwareVersion(version),
      lastSeenAt: instant(at),
    });
  };

  beforeEach(() => {
    history = new VersionHistory(() => LIFETIME);
    shared.clear();
    origins = new StreamOrigins(history, {
      isShared: name => shared.has(name),
    });
    record('v1', 0);
  });

  it('tells of streams once, and only while their service has several versions', () => {
    origins.begin(requestId('a'), service, v1, instant(0));
    origins.begin(requestId('b'), other, v1, instant(0));
    expect(origins.takeUntold(MAX, instant(0))).to.deep.equal([]);
    record('v2', 1000);
    expect(origins.takeUntold(MAX, instant(1000))).to.deep.equal([
      { key: keyOfStream(requestId('a')), service, version: 'v1' },
    ]);
    expect(origins.takeUntold(MAX, instant(1000))).to.deep.equal([]);
  });

  it('tells of streams also while routes lead to several services', () => {
    origins.begin(requestId('a'), service, v1, instant(0));
    expect(origins.takeUntold(MAX, instant(0))).to.deep.equal([]);
    shared.add(service);
    expect(origins.takeUntold(MAX, instant(0))).to.have.length(1);
  });

  // Guards against an entry of a router of an older build that hides the service of a stream.
  it('keeps the service of a stream that it is also told of without', () => {
    const key = keyOfStream(requestId('a'));
    origins.add([key], { service, version: v1 }, instant(0));
    origins.add([key], { service: undefined, version: v1 }, instant(0));
    expect(origins.sourceOf(key)?.service).to.equal(service);
  });

  it('tells of all streams again when the router that stores them is another one', () => {
    record('v2', 0);
    origins.begin(requestId('a'), service, v1, instant(0));
    origins.takeUntold(MAX, instant(0));
    origins.tellAgain();
    expect(origins.takeUntold(MAX, instant(0))).to.have.length(1);
  });

  // Guards against a late row or message that brings back a version which was revoked.
  it('tells of a stream whose endpoint turns out to have another version, for good', () => {
    record('v2', 0);
    const endpoint = endpointId('e');
    origins.begin(requestId('a'), service, v1, instant(0), endpoint);
    const [told] = origins.takeUntold(MAX, instant(0));
    origins.onStarted(new Map([[endpoint, softwareVersion('v2')]]));
    const key = keyOfStream(requestId('a'));
    expect(origins.takeRevoked(MAX)).to.deep.equal([
      { key, service: undefined, version: undefined },
    ]);
    origins.add([key], told!, instant(100));
    expect(origins.sourceOf(key)?.version).to.equal(undefined);
  });

  it('keeps the streams of an endpoint that restarts with its version, and of others', () => {
    const endpoint = endpointId('e');
    origins.begin(requestId('a'), service, v1, instant(0), endpoint);
    origins.begin(requestId('b'), service, v1, instant(0), endpointId('f'));
    origins.onStarted(
      new Map([
        [endpoint, v1],
        [endpointId('g'), softwareVersion('v2')],
      ]),
    );
    expect(origins.size).to.equal(2);
  });

  it('forgets streams that can no longer be resumed', () => {
    for (let at = 0; at <= 200_000; at += 100) {
      origins.begin(requestId(`own-${at}`), service, v1, instant(at));
      origins.add(
        [keyOfStream(requestId(`told-${at}`))],
        { service, version: v1 },
        instant(at),
      );
    }
    expect(origins.size).to.be.at.most(300 + 2 * 302);
    const recent = keyOfStream(requestId('told-175000'));
    expect(origins.sourceOf(recent)?.version).to.equal('v1');
  });

  it('keeps requests with similar ids apart', () => {
    const keys = Array.from({ length: 100_000 }, (_value, index) =>
      keyOfStream(requestId(index.toString(16))),
    );
    expect(new Set(keys).size).to.equal(keys.length);
  });
});
