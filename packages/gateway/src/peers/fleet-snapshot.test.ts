import { expect } from 'chai';

import { EvacuatedZones } from '@sesamegrade/core/endpoints/evacuated-zones';
import { revision, storeEra } from '@sesamegrade/core/store/feed-position';
import { zoneId } from '@sesamegrade/core/types/ids';
import { instant } from '@sesamegrade/core/types/units';
import { fleetSnapshotSchema, snapshotZones } from './fleet-snapshot';

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

  // Guards against a starting router that sends requests to an evacuated zone.
  it('holds the evacuated zones, and none that are malformed or of an older build', () => {
    const zones = new EvacuatedZones();
    expect(snapshotZones(zones)).to.equal(undefined);
    const list = {
      zones: [zoneId('z')],
      position: { era: storeEra(2), revision: revision(7) },
    };
    const source = { origin: 'store', now: instant(0) } as const;
    zones.applyList(list.zones, list.position, source);
    const snapshot = { version: 1, era: 0, raw: new Uint8Array(0) };
    const parse = (value: unknown) =>
      fleetSnapshotSchema.parse({ ...snapshot, zones: value }).zones;
    expect(parse(snapshotZones(zones))).to.deep.equal(list);
    expect(parse([2, 'x', ['z']])).to.equal(undefined);
    expect(fleetSnapshotSchema.parse(snapshot).zones).to.equal(undefined);
  });
});
