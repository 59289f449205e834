import { expect } from 'chai';

import { DefaultVersions } from '@sesamegrade/core/software-versions/default-versions';
import type { StreamOrigin } from '@sesamegrade/core/software-versions/stream-origins';
import type { EndpointEntry } from '@sesamegrade/core/endpoints/endpoint-entry';
import { FIRST_ERA } from '@sesamegrade/core/store/feed-position';
import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import {
  endpointId,
  requestId,
  serviceId,
  softwareVersion,
  zoneId,
} from '@sesamegrade/core/types/ids';
import { instant, milliseconds } from '@sesamegrade/core/types/units';
import { keyOfStream } from './stream-key';
import { StreamRecording } from './stream-recording';
import { watchRejections } from './testing/unhandled-rejections';
import type { RejectionWatch } from './testing/unhandled-rejections';

const service = serviceId('s');
const request = requestId('a');
const v1 = softwareVersion('v1');
const v2 = softwareVersion('v2');
const SHOWN_AT = instant(0);
const READ_AT = instant(10);
const NOW = instant(20);
const lost = new Error('not recorded');

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

describe('StreamRecording', () => {
  let defaultVersions: DefaultVersions;
  let recording: StreamRecording;
  let hasLongCaller: boolean;
  let recorded: StreamOrigin[];
  /** What the store does with the next records, or how they fail; undefined if it took none before. */
  let outcome: boolean | Error | undefined;
  let rejections: RejectionWatch;
  let isShared: boolean;

  const readList = (unusedSince?: number) => {
    defaultVersions.apply(
      {
        defaults: [{ service, version: v1, since: 0, unusedSince }],
        writtenIn: FIRST_ERA,
      },
      { era: FIRST_ERA, storeTime: NOW, sentAt: READ_AT, receivedAt: READ_AT },
    );
  };
  const show = (versions: readonly string[]) => {
    defaultVersions.observe(versions.map(entry), SHOWN_AT);
  };
  const attempts = () =>
    recorded.map(({ version, attempt }) => [version, attempt]);

  beforeEach(() => {
    rejections = watchRejections();
    recorded = [];
    outcome = true;
    isShared = false;
    hasLongCaller = false;
    defaultVersions = new DefaultVersions();
    show(['v1', 'v2']);
    readList();
    recording = new StreamRecording(
      {
        streamLedger: {
          record: origin => {
            if (outcome === undefined) {
              return undefined;
            }
            recorded.push(origin);
            return outcome instanceof Error
              ? Promise.reject(outcome)
              : Promise.resolve(outcome);
          },
        },
        defaultVersions,
        routeHistory: { isShared: () => isShared },
        timers: new ManualTimerService(NOW),
      },
      {
        request,
        service,
        isResumption: false,
        get hasLongCaller() {
          return hasLongCaller;
        },
      },
    );
  });

  afterEach(() => {
    rejections.stop();
  });

  it('needs no record at the default version', async () => {
    recording.announce(v1);
    expect(recording.isAdmitted(v1)).to.equal(true);
    expect(recording.isAdmitted(v2)).to.equal(false);
    expect(await recording.admit(v1)).to.equal(true);
    expect(recording.record).to.deep.equal({
      record: 'not-needed',
      attempt: 1,
    });
    expect(recorded).to.deep.equal([]);
  });

  // Guards against a caller whose time does not show how old its stream is.
  it('records a stream of a caller that waits for longer than routes allow for', async () => {
    hasLongCaller = true;
    recording.announce(v1);
    expect(recording.isAdmitted(v1)).to.equal(false);
    expect(await recording.admit(v1)).to.equal(true);
    expect(attempts()).to.deep.equal([['v1', 1]]);
  });

  it('records a stream at another version before its first event', async () => {
    recording.announce(v2);
    expect(recording.isAdmitted(v2)).to.equal(false);
    expect(recorded).to.deep.equal([
      { key: keyOfStream(request), service, version: v2, attempt: 1 },
    ]);
    expect(await recording.admit(v2)).to.equal(true);
    expect(recorded).to.have.length(1);
    expect(recording.record).to.deep.equal({ record: 'stored', attempt: 1 });
  });

  // Guards against a record of an attempt that sent no event and counts for the stream of a later one.
  it('records a later attempt even at the default version', async () => {
    recording.announce(v2);
    recording.announce(v1);
    expect(recording.isAdmitted(v1)).to.equal(false);
    expect(await recording.admit(v1)).to.equal(true);
    expect(attempts()).to.deep.equal([
      ['v2', 1],
      ['v1', 2],
    ]);
    expect(recording.record).to.deep.equal({ record: 'stored', attempt: 2 });
  });

  // Guards against an endpoint that starts with another version between the attempt and its first event.
  it('records the version that an endpoint has by its first event', async () => {
    recording.announce(v1);
    expect(await recording.admit(v2)).to.equal(true);
    expect(attempts()).to.deep.equal([['v2', 2]]);
    expect(recording.record).to.deep.equal({ record: 'stored', attempt: 2 });
  });

  // Guards against a stream of an endpoint without a version that is taken for one of the default version.
  it('records that a version is not certain', async () => {
    recording.announce(undefined);
    expect(recording.isAdmitted(undefined)).to.equal(false);
    expect(await recording.admit(undefined)).to.equal(true);
    expect(recorded).to.deep.equal([
      { key: keyOfStream(request), service, version: undefined, attempt: 1 },
    ]);
  });

  it('records no uncertain version of a service without a default version', async () => {
    defaultVersions.apply(
      { defaults: [], writtenIn: FIRST_ERA },
      { era: FIRST_ERA, storeTime: NOW, sentAt: NOW, receivedAt: NOW },
    );
    recording.announce(undefined);
    expect(await recording.admit(undefined)).to.equal(true);
    expect(recorded).to.deep.equal([]);
  });

  // Guards against a stream that is taken for one of another service on its route.
  it('records every stream of a service that shares a route with another', async () => {
    isShared = true;
    recording.announce(v1);
    expect(await recording.admit(v1)).to.equal(true);
    expect(attempts()).to.deep.equal([['v1', 1]]);
  });

  // Guards against streams joined from two versions once all memory is lost.
  it('admits no other version without a record while the default version is in use', async () => {
    for (const result of [false, undefined]) {
      outcome = result;
      recording.announce(v2);
      expect(await recording.admit(v2)).to.equal(false);
      recording.announce(undefined);
      expect(await recording.admit(undefined)).to.equal(false);
    }
  });

  // Guards against a record whose response was lost that counts for a stream at the default version.
  it('admits not even the default version without a record after one of an earlier attempt was sent', async () => {
    outcome = false;
    recording.announce(v2);
    recording.announce(v1);
    expect(await recording.admit(v1)).to.equal(false);
    outcome = true;
    recording.announce(v1);
    expect(await recording.admit(v1)).to.equal(true);
    expect(recording.record).to.deep.equal({ record: 'stored', attempt: 3 });
  });

  // Guards against streams of a known version that are broken off while the store takes no record.
  it('admits a resumed stream also without a record, which it notes as missing', async () => {
    const resumed = new StreamRecording(
      {
        streamLedger: { record: () => Promise.resolve(false) },
        defaultVersions,
        routeHistory: { isShared: () => false },
        timers: new ManualTimerService(NOW),
      },
      { request, service, isResumption: true },
    );
    resumed.announce(v2);
    expect(await resumed.admit(v2)).to.equal(true);
    expect(resumed.record).to.deep.equal({ record: 'missing', attempt: 1 });
  });

  // Guards against a write for each stream that an outage kept from another version.
  it('needs no record at the default version after the store took none at all', async () => {
    outcome = undefined;
    recording.announce(v2);
    expect(await recording.admit(v2)).to.equal(false);
    recording.announce(v1);
    expect(recording.isAdmitted(v1)).to.equal(true);
    expect(recording.record).to.deep.equal({
      record: 'not-needed',
      attempt: 2,
    });
  });

  it('admits any version without a record while the default version is not in use', async () => {
    outcome = false;
    readList(1);
    recording.announce(v2);
    expect(await recording.admit(v2)).to.equal(true);
    expect(recording.record).to.deep.equal({ record: 'missing', attempt: 1 });
    readList();
    show(['v2']);
    recording.announce(v2);
    expect(await recording.admit(v2)).to.equal(false);
  });

  // Guards against a router that ends by a record which fails before the first event, or whose attempt has ended.
  it('leaves no rejection unhandled of a record that nobody waits for', async () => {
    outcome = lost;
    recording.announce(v2);
    recording.announce(undefined);
    expect(await rejections.settle()).to.deep.equal([]);
    expect(attempts()).to.have.length(2);
  });

  // Guards against a stream at another version that begins although its record failed.
  it('admits no other version if its record fails, before the first event or after it', async () => {
    for (const isEarly of [true, false]) {
      outcome = lost;
      recording.announce(v2);
      const early = isEarly ? await rejections.settle() : [];
      expect(await recording.admit(v2)).to.equal(false);
      expect([early, await rejections.settle()]).to.deep.equal([[], []]);
      expect(recording.record.record).to.equal('missing');
    }
  });

  // Guards against a record that failed after the store took it and counts for a stream at the default version.
  it('takes a record that failed for one that the store may have', async () => {
    outcome = lost;
    recording.announce(v2);
    await rejections.settle();
    recording.announce(v1);
    expect(recording.isAdmitted(v1)).to.equal(false);
    expect(await recording.admit(v1)).to.equal(false);
    outcome = true;
    recording.announce(v1);
    expect(await recording.admit(v1)).to.equal(true);
  });

  // Guards against the decision of before a wait for the store that no longer holds.
  it('decides by what is known once the store has not taken the record', async () => {
    outcome = false;
    show(['v2']);
    recording.announce(v2);
    const admitted = recording.admit(v2);
    show(['v1', 'v2']);
    expect(await admitted).to.equal(false);
  });
});
