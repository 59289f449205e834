import { expect } from 'chai';

import { FIRST_ERA, revision } from '../store/feed-position';
import { endpointId, serviceId, softwareVersion } from '../types/ids';
import { addTime, instant, milliseconds, seconds } from '../types/units';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { streamLifetime, VersionHistory } from './version-history';

const service = serviceId('s');
const START = instant(1_000_000);
const LONGEST_TIMEOUT = seconds(60);

describe('VersionHistory before the routes are known', () => {
  // Guards against streams on routes with a long timeout that go on at the version that is left.
  it('forgets no version that it was told for the lifetime of streams on later routes', () => {
    let lifetime = streamLifetime([]);
    const history = new VersionHistory(() => lifetime);
    const position = { era: FIRST_ERA, revision: revision(10) };
    history.record({
      service,
      version: softwareVersion('v1'),
      lastSeenAt: addTime(START, milliseconds(-50_000)),
    });
    history.markListed(position);
    const present = { id: endpointId('e'), service } as EndpointEntry;
    history.observe(
      [{ ...present, softwareVersion: softwareVersion('v2') }],
      START,
    );
    history.markComplete(position);
    lifetime = streamLifetime([LONGEST_TIMEOUT]);
    expect(history.versionOfStreams(service, START).kind).to.not.equal(
      'single',
    );
  });
});
