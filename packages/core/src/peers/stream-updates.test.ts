import { expect } from 'chai';

import {
  keyOfStream,
  StreamOrigins,
} from '../software-versions/stream-origins';
import type { StreamOrigin } from '../software-versions/stream-origins';
import { VersionHistory } from '../software-versions/version-history';
import { FIRST_ERA, revision } from '../store/feed-position';
import { requestId, serviceId, softwareVersion } from '../types/ids';
import { instant, seconds } from '../types/units';
import { StreamUpdates } from './stream-updates';

const now = instant(1000);
const origin = (id: string, service: string, version = 'v1'): StreamOrigin => ({
  key: keyOfStream(requestId(id)),
  service: serviceId(service),
  version: softwareVersion(version),
});

describe('StreamUpdates', () => {
  let streamOrigins: StreamOrigins;
  let updates: StreamUpdates;
  let versionHistory: VersionHistory;

  beforeEach(() => {
    versionHistory = new VersionHistory(() => seconds(30));
    streamOrigins = new StreamOrigins(versionHistory, {
      isShared: () => true,
    });
    updates = new StreamUpdates({ streamOrigins, versionHistory });
  });

  it('tells the service of each stream', () => {
    const told: StreamOrigin[] = [];
    updates.onOrigins(origins => told.push(...origins));
    const sent = [origin('1', 'a'), origin('2', 'b'), origin('3', 'a')];
    expect(updates.receive(updates.originsMessage(sent), now)).to.equal(0);
    expect(told).to.have.deep.members(sent);
    const { key } = origin('2', 'b');
    expect(streamOrigins.sourceOf(key)).to.include({ service: 'b' });
  });

  // Guards against the word of a peer that had not seen all that was before the own list.
  it("counts a peer's versions as of the list in its message only", () => {
    versionHistory.markListed({ era: FIRST_ERA, revision: revision(20) });
    const told = { h: [['a', 'v1', 0]] };
    for (const [list, isComplete] of [
      [{}, false],
      [{ w: [[0, 10]] }, false],
      [{ w: [[0, 20]] }, true],
    ] as const) {
      updates.receive({ ...told, ...list }, now);
      expect(versionHistory.isComplete(now)).to.equal(isComplete);
    }
  });

  // Guards against a router of an older build that takes a stream's version for that of any service.
  it('sends nothing that older builds read without the service', () => {
    const message = updates.originsMessage([origin('1', 'a')]);
    expect(message).not.to.have.property('b');
  });

  it('takes from older builds that the service is not known', () => {
    const { key } = origin('1', 'a');
    expect(updates.receive({ b: [[key, 'v1']] }, now)).to.equal(0);
    expect(streamOrigins.sourceOf(key)).to.deep.equal({
      service: undefined,
      version: 'v1',
    });
  });
});
