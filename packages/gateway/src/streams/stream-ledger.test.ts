import { expect } from 'chai';

import { StreamOrigins } from '@sesamegrade/core/software-versions/stream-origins';
import type {
  StreamBegin,
  StreamOrigin,
} from '@sesamegrade/core/software-versions/stream-origins';
import {
  configurationVersion,
  requestId,
  routerId,
  serviceId,
  softwareVersion,
} from '@sesamegrade/core/types/ids';
import type { RouterId } from '@sesamegrade/core/types/ids';
import { milliseconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import { binaryEncoder } from '@sesamegrade/router/peers/peer-message';
import { keyOfStream } from './stream-key';
import { StreamLedger } from './stream-ledger';
import {
  originOf,
  ReachedStore,
  silentLog,
  STREAM_LIFETIME,
} from './testing/reached-store';

const SELF = routerId('r-0');
const FIRST = routerId('r-1');
const SECOND = routerId('r-2');
const SEND_DELAY_MS = 10;
const SECOND_RELAY_DELAY_MS = 150;
const RECORDING_TIMEOUT_MS = 400;
const PROBE_PERIOD_MS = 1000;
const STEP_MS = 5;
const MAX_SENT = 1000;
/** Size of a message on which a peer closes the connection. */
const MAX_REQUEST_BYTES = 16_384;
const MAX_NAME_LENGTH = 200;
/** Services at versions, of names as long as they may be, whose streams one message holds. */
const SOURCES = 8;

/** A message that a relay got. */
interface Sent {
  readonly relay: RouterId;
  readonly message: unknown;
}

describe('StreamLedger', () => {
  let store: ReachedStore;
  let ledger: StreamLedger;
  let streamOrigins: StreamOrigins;
  let relays: readonly RouterId[];
  let sent: Sent[];
  /** How each relay answers; one that is not named never does. */
  let answers: Map<RouterId, () => Promise<unknown>>;
  let refreshes: number[];
  let list: { isOutdated: boolean; isUnused: boolean };
  let resets: string[];

  const open = () => {
    ledger = new StreamLedger({
      routes: { version: configurationVersion(1) },
      settings: { router: { id: SELF } },
      originTable: { reset: () => resets.push('table') },
      successorAgreement: { record: () => undefined },
      originConfirmation: {
        refresh: () => {
          refreshes.push(store.timers.now());
          return Promise.resolve();
        },
      },
      originWriter: {
        write: () => Promise.reject(new Error('this router is no relay')),
        reset: () => resets.push('writer'),
      },
      streamOrigins,
      defaultVersions: list,
      peerMesh: {
        get relays() {
          return relays;
        },
        requestRecording: (relay, message) => {
          sent.push({ relay, message });
          return answers.get(relay)?.() ?? new Promise(() => undefined);
        },
      },
      timers: store.timers,
      backgroundTasks: store.backgroundTasks,
      log: silentLog,
    });
  };
  const answer = (relay: RouterId, value: unknown) => {
    answers.set(relay, () => Promise.resolve(value));
  };
  /** Lets a relay store what it is sent after a time. */
  const answerLate = (relay: RouterId, delay: Milliseconds) => {
    answers.set(
      relay,
      () =>
        new Promise(resolve => {
          store.timers.after(delay, () => {
            resolve(true);
          });
        }),
    );
  };
  const asked = () => sent.map(({ relay }) => relay);
  /** Records an origin; `outcome` tells what has become of it. */
  const record = (origin: StreamOrigin) => {
    const recording: { outcome: boolean | undefined } = { outcome: undefined };
    store.backgroundTasks.run('record', async () => {
      recording.outcome = await ledger.record(origin);
    });
    return recording;
  };
  const tick = async () => {
    ledger.tick(store.timers.now());
    await store.pass(0);
  };
  const begin = (id: string, fields: Partial<StreamBegin> = {}) => {
    streamOrigins.begin(
      {
        key: keyOfStream(requestId(id)),
        service: serviceId('s'),
        version: softwareVersion('v2'),
        ...fields,
      },
      store.timers.now(),
    );
  };
  /** Lets a record fail. */
  const fail = async () => {
    answers.clear();
    const recording = record(originOf('failed'));
    await store.pass(SEND_DELAY_MS + RECORDING_TIMEOUT_MS + STEP_MS);
    expect(recording.outcome).to.equal(false);
    sent = [];
  };

  beforeEach(() => {
    store = new ReachedStore();
    streamOrigins = new StreamOrigins(() => STREAM_LIFETIME);
    relays = [FIRST, SECOND];
    sent = [];
    answers = new Map();
    refreshes = [];
    resets = [];
    list = { isOutdated: false, isUnused: false };
    open();
  });

  it('has the origins of a moment recorded by one message to the first relay', async () => {
    answer(FIRST, true);
    const recordings = ['a', 'b'].map(id => record(originOf(id)));
    await store.pass(SEND_DELAY_MS + STEP_MS);
    expect(recordings.map(({ outcome }) => outcome)).to.deep.equal([
      true,
      true,
    ]);
    const keys = ['a', 'b'].map(id => originOf(id).key);
    expect(sent).to.deep.equal([
      { relay: FIRST, message: { origins: [['s', 'v2', 1, keys]] } },
    ]);
    expect(ledger.takesRecords).to.equal(true);
  });

  it('sends no more origins in a message than a relay accepts', async () => {
    answer(FIRST, true);
    const recordings = Array.from({ length: MAX_SENT + 1 }, (_value, index) =>
      record(originOf(`${index}`)),
    );
    await store.pass(2 * SEND_DELAY_MS + STEP_MS);
    expect(recordings.every(({ outcome }) => outcome)).to.equal(true);
    expect(asked()).to.deep.equal([FIRST, FIRST]);
  });

  // Guards against a message on which a relay closes the connection.
  it('fits as many origins as it sends, of services with the longest names, into what a relay accepts', async () => {
    answer(FIRST, true);
    for (let index = 0; index < MAX_SENT; index += 1) {
      const name = `${index % SOURCES}`.repeat(MAX_NAME_LENGTH);
      record({
        ...originOf(`${index}`),
        service: serviceId(name),
        version: softwareVersion(name),
      });
    }
    await store.pass(SEND_DELAY_MS + STEP_MS);
    const [{ message: input }] = sent as [Sent];
    const params = { path: 'record', input };
    const request = { id: MAX_SENT, method: 'mutation', params };
    const { byteLength } = binaryEncoder.encode(request);
    expect(byteLength).to.be.within(12_000, MAX_REQUEST_BYTES);
  });

  // Guards against first events that wait for a relay that is lost and counts as connected.
  it('asks the second relay as well once the first has not answered for a time', async () => {
    const recording = record(originOf('a'));
    answer(SECOND, true);
    await store.pass(SEND_DELAY_MS + SECOND_RELAY_DELAY_MS - STEP_MS);
    expect(asked()).to.deep.equal([FIRST]);
    await store.pass(2 * STEP_MS);
    expect(asked()).to.deep.equal([FIRST, SECOND]);
    expect(recording.outcome).to.equal(true);
    expect(ledger.takesRecords).to.equal(true);
  });

  it('asks the second relay at once if the first does not store the origins or fails', async () => {
    answer(SECOND, true);
    const replies = [
      () => Promise.resolve(false),
      () => Promise.resolve({}),
      () => Promise.reject(new Error('lost')),
    ];
    for (const reply of replies) {
      sent = [];
      answers.set(FIRST, reply);
      const recording = record(originOf('a'));
      await store.pass(SEND_DELAY_MS + STEP_MS);
      expect(asked()).to.deep.equal([FIRST, SECOND]);
      expect(recording.outcome).to.equal(true);
    }
  });

  it('counts the answer of the first relay also after the second was asked', async () => {
    answerLate(FIRST, milliseconds(RECORDING_TIMEOUT_MS / 2));
    answer(SECOND, false);
    const recording = record(originOf('a'));
    await store.pass(SEND_DELAY_MS + RECORDING_TIMEOUT_MS / 2 + STEP_MS);
    expect(recording.outcome).to.equal(true);
  });

  // Guards against first events that wait for a store that takes nothing.
  it('gives up after a time, and tries no record until a probe succeeds', async () => {
    const recording = record(originOf('a'));
    await store.pass(RECORDING_TIMEOUT_MS - STEP_MS);
    expect(recording.outcome).to.equal(undefined);
    await store.pass(STEP_MS);
    expect(recording.outcome).to.equal(false);
    // The next attempt of the request does not wait again.
    expect(ledger.takesRecords).to.equal(false);
    expect(ledger.record(originOf('b'))).to.equal(undefined);
    await store.pass(SEND_DELAY_MS);
    expect(ledger.takesRecords).to.equal(false);
    sent = [];
    await tick();
    expect(sent).to.deep.equal([{ relay: FIRST, message: { origins: [] } }]);
    await store.pass(RECORDING_TIMEOUT_MS + STEP_MS);
    expect(ledger.takesRecords).to.equal(false);
    answer(FIRST, true);
    sent = [];
    await tick();
    expect(sent).to.deep.equal([]);
    await store.pass(PROBE_PERIOD_MS - RECORDING_TIMEOUT_MS);
    await tick();
    expect(asked()).to.deep.equal([FIRST]);
    expect(ledger.takesRecords).to.equal(true);
  });

  // Guards against a late answer of one relay that hides that the store takes nothing in time.
  it('does not count an answer that comes after the time', async () => {
    answerLate(FIRST, STREAM_LIFETIME);
    const recording = record(originOf('a'));
    await store.pass(SEND_DELAY_MS + STREAM_LIFETIME + STEP_MS);
    expect(recording.outcome).to.equal(false);
    expect(ledger.takesRecords).to.equal(false);
  });

  // Guards against streams whose version no record tells once their router is lost.
  it('repeats missing and revoked origins until the store has taken them', async () => {
    begin('missing', { record: 'missing', attempt: 2 });
    begin('stored', { record: 'stored' });
    begin('revoked');
    streamOrigins.forget(keyOfStream(requestId('revoked')));
    const origins = [
      [null, null, 1, [originOf('revoked').key]],
      ['s', 'v2', 2, [originOf('missing').key]],
    ];
    answer(FIRST, false);
    answer(SECOND, false);
    await tick();
    expect(sent).to.deep.equal([
      { relay: FIRST, message: { origins } },
      { relay: SECOND, message: { origins } },
    ]);
    answer(FIRST, true);
    sent = [];
    await store.pass(PROBE_PERIOD_MS);
    await tick();
    // The second relay may have been told of the revoked stream.
    expect(sent).to.deep.equal([
      { relay: FIRST, message: { origins } },
      { relay: SECOND, message: { origins } },
    ]);
    expect(ledger.takesRecords).to.equal(true);
    sent = [];
    await store.pass(PROBE_PERIOD_MS);
    await tick();
    expect(sent).to.deep.equal([]);
  });

  it('repeats missing origins to one relay if that takes them', async () => {
    begin('missing', { record: 'missing', attempt: 2 });
    answer(FIRST, true);
    await tick();
    expect(asked()).to.deep.equal([FIRST]);
  });

  // Guards against records that a restored store has lost.
  it('repeats the stored origins after a restore', async () => {
    answer(FIRST, true);
    begin('a', { record: 'stored' });
    ledger.onRestored();
    expect(resets).to.have.members(['table', 'writer']);
    await tick();
    expect(sent).to.deep.equal([
      {
        relay: FIRST,
        message: { origins: [['s', 'v2', 1, [originOf('a').key]]] },
      },
    ]);
  });

  it('repeats nothing between two probes', async () => {
    await fail();
    begin('a', { record: 'missing' });
    await tick();
    await store.pass(RECORDING_TIMEOUT_MS + STEP_MS);
    sent = [];
    await tick();
    expect(sent).to.deep.equal([]);
  });

  it('reads an outdated list at once, and again after ever longer times', async () => {
    list.isOutdated = true;
    for (let passed = 0; passed < 70; passed += 1) {
      await tick();
      await store.pass(1000);
    }
    expect(refreshes.map(at => at / 1000)).to.deep.equal([
      0, 1, 3, 7, 15, 31, 61,
    ]);
    list.isOutdated = false;
    await tick();
    list.isOutdated = true;
    refreshes = [];
    await tick();
    expect(refreshes).to.have.length(1);
  });

  it('reads the list now and then while the default version is not in use', async () => {
    list.isUnused = true;
    for (let passed = 0; passed < 70; passed += 1) {
      await tick();
      await store.pass(1000);
    }
    expect(refreshes.map(at => at / 1000)).to.deep.equal([
      4, 14, 24, 34, 44, 54, 64,
    ]);
    list.isUnused = false;
    await tick();
    list.isUnused = true;
    refreshes = [];
    await tick();
    expect(refreshes).to.deep.equal([]);
  });

  // Guards against a list that counts as too old long after the default version is back.
  it('reads a list at once that becomes outdated while the default version was not in use', async () => {
    list.isUnused = true;
    await tick();
    list.isOutdated = true;
    await tick();
    expect(refreshes).to.have.length(1);
  });
});
