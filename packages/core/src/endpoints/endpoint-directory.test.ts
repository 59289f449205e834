import { expect } from 'chai';

import { endpointId, serviceId, zoneId } from '../types/ids';
import { instant, milliseconds } from '../types/units';
import { EndpointDirectory } from './endpoint-directory';
import type { EndpointEntry } from './endpoint-entry';

const service = serviceId('s');
const id = endpointId('e');

const entry = (fields: Partial<EndpointEntry> = {}): EndpointEntry => ({
  id,
  service,
  address: { host: '10.0.0.1', port: 1 },
  zone: zoneId('z'),
  slots: 4,
  leaving: false,
  warmUp: milliseconds(0),
  startedAt: 100,
  softwareVersion: undefined,
  ...fields,
});

describe('EndpointDirectory', () => {
  it('treats an endpoint as leaving until it restarts', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.apply({ id, entry: entry({ leaving: true }) }, instant(1));
    directory.apply({ id, entry: entry() }, instant(2));
    expect(directory.usable(service)).to.deep.equal([]);
    const events = directory.apply(
      { id, entry: entry({ startedAt: 200 }) },
      instant(3),
    );
    expect(events.map(({ kind }) => kind)).to.deep.equal(['restarted']);
    expect(directory.isUsable(id)).to.equal(true);
  });

  it('uses an endpoint whose entry disappeared for less than the time in which it still serves', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.apply({ id, entry: undefined }, instant(10));
    directory.tick(instant(1000));
    expect(directory.isUsable(id)).to.equal(true);
    const events = directory.tick(instant(1500));
    expect(events).to.deep.equal([{ kind: 'gone', id }]);
    expect(directory.isUsable(id)).to.equal(false);
  });

  it('counts the time of a lapsed entry from the last confirmation, as its removal may be noticed late', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.apply({ id, entry: undefined }, instant(11_150), instant(10_000));
    directory.tick(instant(11_350));
    expect(directory.isUsable(id)).to.equal(true);
    directory.tick(instant(11_400));
    expect(directory.isUsable(id)).to.equal(false);
  });

  it('gives a lapsed entry its whole time when nothing was confirmed for longer than the bound', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.apply({ id, entry: undefined }, instant(15_000), instant(10_000));
    directory.tick(instant(16_300));
    expect(directory.isUsable(id)).to.equal(true);
    directory.tick(instant(16_400));
    expect(directory.isUsable(id)).to.equal(false);
  });

  it('uses an endpoint whose entry expired in a store outage for less than 2 s after the outage', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.onStoreAvailable(instant(10_000));
    directory.replace([], instant(10_010));
    expect(directory.isUsable(id)).to.equal(true);
    directory.tick(instant(11_300));
    expect(directory.isUsable(id)).to.equal(true);
    const events = directory.tick(instant(12_000));
    expect(events).to.deep.equal([{ kind: 'gone', id }]);
    expect(directory.isUsable(id)).to.equal(false);
  });

  it('cancels the removal when a lapsed entry comes back', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.onStoreAvailable(instant(10_000));
    directory.apply({ id, entry: undefined }, instant(10_010));
    directory.apply({ id, entry: entry() }, instant(11_000));
    expect(directory.tick(instant(20_000))).to.deep.equal([]);
    expect(directory.isUsable(id)).to.equal(true);
  });

  it('removes an endpoint at once if it was leaving before its entry disappeared', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry({ leaving: true })], instant(0));
    directory.onStoreAvailable(instant(10_000));
    directory.apply({ id, entry: undefined }, instant(10_010));
    expect(directory.size).to.equal(0);
  });

  it('does not use an endpoint that a peer reported as leaving until the store lists it again', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    expect(directory.applyDeparture(id)).to.equal(true);
    expect(directory.applyDeparture(id)).to.equal(false);
    expect(directory.usable(service)).to.deep.equal([]);
    directory.apply({ id, entry: entry() }, instant(1));
    expect(directory.isUsable(id)).to.equal(true);
  });

  it('uses no instance that said that it leaves, whatever the store lists afterwards', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    expect(directory.markLeaving(id, 100)).to.equal(true);
    expect(directory.markLeaving(id, 100)).to.equal(false);
    directory.apply({ id, entry: entry() }, instant(1));
    expect(directory.isUsable(id)).to.equal(false);
    directory.apply({ id, entry: undefined }, instant(2));
    directory.apply({ id, entry: entry() }, instant(3));
    expect(directory.isUsable(id)).to.equal(false);
    directory.apply({ id, entry: entry({ startedAt: 200 }) }, instant(4));
    expect(directory.isUsable(id)).to.equal(true);
  });

  it('takes the statement of an instance for that instance only', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry({ startedAt: 200 })], instant(0));
    expect(directory.markLeaving(id, 100)).to.equal(false);
    expect(directory.isUsable(id)).to.equal(true);
    const unlisted = endpointId('unlisted');
    expect(directory.markLeaving(unlisted, 100)).to.equal(true);
    directory.apply(
      { id: unlisted, entry: entry({ id: unlisted }) },
      instant(1),
    );
    expect(directory.isUsable(unlisted)).to.equal(false);
  });

  it('does not use an endpoint again that has left when a restored store lists it as ready', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.apply({ id, entry: entry({ leaving: true }) }, instant(1));
    directory.apply({ id, entry: undefined }, instant(2));
    directory.replace([entry()], instant(3), 'restored');
    directory.tick(instant(60_000));
    expect(directory.isUsable(id)).to.equal(false);
  });

  it('uses an endpoint whose entry had expired once it writes to the restored store, or is listed for long enough', () => {
    const writing = new EndpointDirectory();
    const listed = new EndpointDirectory();
    for (const directory of [writing, listed]) {
      directory.replace([entry()], instant(0));
      directory.apply({ id, entry: undefined }, instant(10));
      directory.tick(instant(2000));
      directory.replace([entry()], instant(3000), 'restored');
      expect(directory.isUsable(id)).to.equal(false);
    }
    writing.apply({ id, entry: entry() }, instant(3500));
    expect(writing.isUsable(id)).to.equal(true);
    listed.tick(instant(8900));
    expect(listed.isUsable(id)).to.equal(false);
    listed.tick(instant(9000));
    expect(listed.isUsable(id)).to.equal(true);
  });

  it('ignores an entry of an older instance in a restored store', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry({ startedAt: 200 })], instant(0));
    const address = { host: '10.0.0.9', port: 9 };
    directory.replace([entry({ address })], instant(1), 'restored');
    expect(directory.get(id)?.address.host).to.equal('10.0.0.1');
    expect(directory.isUsable(id)).to.equal(true);
  });

  it('keeps an endpoint that joined after the copy was made until it has written its entry again', () => {
    const directory = new EndpointDirectory();
    directory.replace([entry()], instant(0));
    directory.replace([], instant(1000), 'restored');
    directory.tick(instant(3500));
    expect(directory.isUsable(id)).to.equal(true);
    expect(directory.tick(instant(5000))).to.deep.equal([{ kind: 'gone', id }]);
  });
});
