import { expect } from 'chai';

import { EndpointDirectory } from '../endpoints/endpoint-directory';
import type { EndpointEntry } from '../endpoints/endpoint-entry';
import { endpointId, serviceId, softwareVersion, zoneId } from '../types/ids';
import { instant, milliseconds, seconds } from '../types/units';
import { StreamAdmission } from './stream-admission';
import { VersionHistory } from './version-history';

const service = serviceId('s');

const entry = (version: string): EndpointEntry => ({
  id: endpointId(`e-${version}`),
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 1,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: undefined,
  softwareVersion: softwareVersion(version),
});

describe('StreamAdmission', () => {
  let history: VersionHistory;
  let directory: EndpointDirectory;
  let admission: StreamAdmission;

  const show = (versions: readonly string[], at: number) => {
    directory.replace(versions.map(entry), instant(at));
    history.observe(directory.all(), instant(at));
  };
  const accepted = (versions: readonly string[], at: number) =>
    versions.filter(version => admission.accepts(entry(version), instant(at)));

  beforeEach(() => {
    history = new VersionHistory(() => seconds(30));
    directory = new EndpointDirectory();
    admission = new StreamAdmission({
      versionHistory: history,
      endpointDirectory: directory,
    });
  });

  it('lets streams begin anywhere while the store lists no version of the service', () => {
    show(['v1', 'v2'], 0);
    expect(accepted(['v1', 'v2'], 0)).to.deep.equal(['v1', 'v2']);
  });

  // Guards against streams of a version of which nothing tells after the loss of all memory.
  it('keeps a new version back until the store lists it', () => {
    show(['v1'], 0);
    history.markRecorded(service, softwareVersion('v1'));
    show(['v1', 'v2'], 100);
    expect(accepted(['v1', 'v2'], 200)).to.deep.equal(['v1']);
    history.markRecorded(service, softwareVersion('v2'));
    expect(accepted(['v1', 'v2'], 200)).to.deep.equal(['v1', 'v2']);
  });

  it('uses a new version that is not listed after a second, or when it is the only one', () => {
    show(['v1'], 0);
    history.markRecorded(service, softwareVersion('v1'));
    show(['v1', 'v2'], 100);
    expect(accepted(['v2'], 1099)).to.deep.equal([]);
    expect(accepted(['v2'], 1100)).to.deep.equal(['v2']);
    show(['v3'], 1200);
    directory.tick(instant(60_000));
    history.observe([entry('v3')], instant(60_000));
    expect(accepted(['v3'], 60_000)).to.deep.equal(['v3']);
  });
});
