import { expect } from 'chai';

import { fleetSnapshotSchema } from './fleet-snapshot';

const sound = {
  id: 'e-1',
  service: 's',
  host: '10.0.0.1',
  port: 80,
  zone: 'z',
  slots: 6,
  leaving: false,
  warmUp: 0,
};

describe('fleetSnapshotSchema', () => {
  // Guards against one unusable entry that keeps a starting router without all endpoints.
  it('leaves out and counts the entries that it cannot use', () => {
    const snapshot = fleetSnapshotSchema.parse({
      version: 1,
      era: 0,
      raw: new Uint8Array(0),
      endpoints: [
        { ...sound, id: 'e-2', host: 'http://10.0.0.1' },
        { ...sound, id: 'a\r\nb: c' },
        { ...sound, service: '' },
        7,
        sound,
      ],
    });
    expect(snapshot.endpoints?.malformed).to.equal(4);
    expect(snapshot.endpoints?.entries.map(({ id }) => id)).to.deep.equal([
      'e-1',
    ]);
  });

  it('takes fields that only newer builds know', () => {
    const snapshot = fleetSnapshotSchema.parse({
      version: 1,
      era: 0,
      raw: new Uint8Array(0),
      endpoints: [{ ...sound, novel: true }],
      novel: 1,
    });
    expect(snapshot.endpoints?.entries).to.have.length(1);
  });
});
