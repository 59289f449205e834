import { expect } from 'chai';

import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { Random } from '@sesamegrade/core/random/random';
import { FIRST_ERA } from '@sesamegrade/core/store/feed-position';
import {
  configurationVersion,
  endpointId,
  requestId,
  routerId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import { DEFAULTS_KEY, encodeDefaults } from './origin-row';
import { keyOfStream } from './stream-key';
import { StreamLedger } from './stream-ledger';
import { StreamRecording } from './stream-recording';
import { ReachedStore, silentLog } from './testing/reached-store';

const SELF = routerId('r-0');
const service = serviceId('s');
const v1 = softwareVersion('v1');
const v2 = softwareVersion('v2');
/** Time within which the store has to take a record, and that which this one takes. */
const RECORDING_TIMEOUT_MS = 400;
const WRITE_TIME = milliseconds(600);
const STEP_MS = 5;

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

/** A router of a store whose writes take longer than a record is waited for. */
function slowRouter(store: ReachedStore): StreamRecording {
  const { timers, defaultVersions, streamOrigins, backgroundTasks } = store;
  defaultVersions.observe(['v1', 'v2'].map(entry), timers.now());
  const originWriter = store.originWriter(new Random(1), {
    replace: (key, value, expected) =>
      new Promise(resolve => {
        timers.after(WRITE_TIME, () => {
          resolve(store.rows.replace(key, value, expected));
        });
      }),
  });
  const streamLedger = new StreamLedger({
    routes: { version: configurationVersion(1) },
    settings: { router: { id: SELF } },
    originTable: { reset: () => undefined },
    successorAgreement: { record: () => undefined },
    originConfirmation: { refresh: () => Promise.resolve() },
    originWriter,
    streamOrigins,
    defaultVersions,
    peerMesh: {
      relays: [SELF],
      requestRecording: () => Promise.reject(new Error('no peer')),
    },
    timers,
    backgroundTasks,
    log: silentLog,
  });
  return new StreamRecording(
    {
      streamLedger,
      defaultVersions,
      routeHistory: { isShared: () => false },
      timers,
    },
    { request: requestId('a'), service, isResumption: false },
  );
}

describe('a record that the store takes late', () => {
  // Guards against a stream that goes on at the version of an attempt which was withdrawn, once its router is lost.
  it('does not count for a stream that began at the default version instead', async () => {
    const store = new ReachedStore();
    const list = {
      defaults: [{ service, version: v1, since: 0, unusedSince: undefined }],
      writtenIn: FIRST_ERA,
    };
    store.table.put(DEFAULTS_KEY, encodeDefaults(list), 0);
    const recording = slowRouter(store);
    const table = store.originTable();
    const isListRead = table.read();
    await store.pass(STEP_MS);
    expect(await isListRead).to.equal(true);
    recording.announce(v2);
    const atOther = recording.admit(v2);
    await store.pass(RECORDING_TIMEOUT_MS + STEP_MS);
    expect(await atOther).to.equal(false);
    recording.announce(v1);
    const atDefault = recording.admit(v1);
    await store.pass(STEP_MS);
    const hasBegun = await atDefault;
    await store.pass(WRITE_TIME);
    const isRead = table.read();
    await store.pass(STEP_MS);
    expect(await isRead).to.equal(true);
    const stored = store.streamOrigins.sourceOf(keyOfStream(requestId('a')));
    expect({ hasBegun, recordedAt: stored?.version }).not.to.deep.equal({
      hasBegun: true,
      recordedAt: v2,
    });
  });
});
