import { expect } from 'chai';

import type { AttemptResult } from '@sesamegrade/core/forwarding/attempt-result';
import type { CallerExchange } from '../callers/caller-exchange';
import type { ResponseSink } from '../endpoints/attempt';
import type { ResponseHead } from '../endpoints/endpoint-protocol';
import { watchRejections } from '../streams/testing/unhandled-rejections';
import type { RejectionWatch } from '../streams/testing/unhandled-rejections';
import { ResponseMemory } from './response-memory';
import { ResponseRelay } from './response-relay';
import type { RelayedAttempt } from './response-relay';

const MAX_EVENT_BYTES = 1_048_576;
const STATUS_OK = 200;
const lost = new Error('not decided');

const head: ResponseHead = {
  status: STATUS_OK,
  headers: [],
  requestId: 'r',
  hasReceipt: true,
  notRun: false,
  isEncoded: false,
  load: undefined,
  length: undefined,
  framing: 'chunked',
  keepAliveTimeout: undefined,
  isLeaving: false,
  retryAfter: undefined,
  requestLimit: { kind: 'none' },
  rejectionLimit: { kind: 'none' },
};
const event = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
const events = (...ids: readonly number[]) => ids.map(event).join('');

describe('EventStreamSink', () => {
  let relay: ResponseRelay;
  let sink: ResponseSink;
  let attempt: RelayedAttempt;
  /** Whether no other attempt provides the response. */
  let isProvider: boolean;
  /** What the caller got, as text, and the start and end of its response. */
  let received: string[];
  let decide: (isAdmitted: boolean) => void;
  let reject: (error: Error) => void;
  let rejections: RejectionWatch;
  let aborted: AttemptResult[];
  let admissions: number;
  let resumes: number;
  let drain: (() => void) | undefined;
  let isCallerFull: boolean;

  const exchange = {
    method: 'POST',
    get hasResponseStarted() {
      return received.includes('start');
    },
    startResponse: () => received.push('start'),
    write: (chunk: Uint8Array) => {
      received.push(Buffer.from(chunk).toString());
      return !isCallerFull;
    },
    onDrain: (listener: () => void) => {
      drain = listener;
    },
    end: () => received.push('end'),
    get unsentBytes() {
      return unsentBytes;
    },
  } as unknown as CallerExchange;

  let responseMemory: ResponseMemory;
  let unsentBytes: number;

  const open = (admit: () => true | Promise<boolean>) => {
    attempt = {
      resume: () => {
        resumes += 1;
      },
      abort: result => aborted.push(result),
      isAccepted: () => true,
      admit: () => {
        admissions += 1;
        return admit();
      },
      takeOver: () => isProvider,
      onFirstAttemptEvent: () => undefined,
      onEvents: () => undefined,
      onFirstEvent: () => undefined,
    };
    relay = new ResponseRelay({
      exchange,
      memory: responseMemory.open(),
      isStream: true,
      lastEventId: undefined,
      isResumption: false,
    });
    sink = relay.sink(attempt);
    sink.onHead(head);
  };
  const openPending = () => {
    open(
      () =>
        new Promise((resolve, fail) => {
          decide = resolve;
          reject = fail;
        }),
    );
  };
  const feed = (text: string) => sink.onData(Buffer.from(text));
  const settle = () =>
    new Promise(resolve => {
      setImmediate(resolve);
    });
  const text = () =>
    received.filter(part => part !== 'start' && part !== 'end').join('');

  beforeEach(() => {
    isProvider = true;
    responseMemory = new ResponseMemory(33_554_432);
    unsentBytes = 0;
    rejections = watchRejections();
    received = [];
    aborted = [];
    admissions = 0;
    resumes = 0;
    drain = undefined;
    isCallerFull = false;
  });

  afterEach(() => {
    rejections.stop();
  });

  it('passes events on at once if the first may be', () => {
    open(() => true);
    expect(feed(event(1))).to.equal(true);
    expect(feed(event(2))).to.equal(true);
    expect(received).to.deep.equal(['start', event(1), event(2)]);
    expect(admissions).to.equal(1);
  });

  // Guards against events of two endpoints in one response.
  it('passes nothing on once another attempt provides the response', () => {
    open(() => true);
    feed(event(1));
    isProvider = false;
    feed(event(2));
    expect(sink.onComplete(head)).to.deep.equal({
      kind: 'superseded',
      wasSent: true,
    });
    expect(received).to.deep.equal(['start', event(1)]);
  });

  // Guards against a router that runs out of memory by many events that do not end.
  it('gives an event up that does not end while other responses use up the memory', () => {
    responseMemory.open().set(2 ** 25);
    open(() => true);
    feed(event(1));
    feed(`data: ${'x'.repeat(60_000)}`);
    expect(aborted).to.deep.equal([]);
    feed('x'.repeat(60_000));
    expect(aborted).to.deep.equal([{ kind: 'broken', breakage: 'malformed' }]);
  });

  // Guards against a stream that is broken off as its caller reads slowly.
  it('goes on while other responses use up the memory and the caller has not read what was sent', () => {
    responseMemory.open().set(2 ** 25);
    unsentBytes = 2 ** 17;
    open(() => true);
    feed(`${event(1)}id: 2\nda`);
    feed('ta: 2\n\n');
    expect(aborted).to.deep.equal([]);
    expect(text()).to.equal(events(1, 2));
  });

  // Guards against a first event that is passed on before its stream is recorded, and events that overtake it.
  it('holds all events while that is not decided, and passes them on in order', async () => {
    openPending();
    expect(feed(`${event(1)}id: 2\nda`)).to.equal(false);
    expect(feed(`ta: 2\n\n${event(3)}id:`)).to.equal(false);
    expect(feed(' 4\ndata: 4\n')).to.equal(false);
    await settle();
    expect([received, relay.events, resumes]).to.deep.equal([[], 0, 0]);
    decide(true);
    await settle();
    expect(received[0]).to.equal('start');
    expect(text()).to.equal(events(1, 2, 3));
    expect([relay.events, relay.lastEventId]).to.deep.equal([3, 3]);
    expect([admissions, resumes]).to.deep.equal([1, 1]);
    expect(feed('\n')).to.equal(true);
    expect(text()).to.equal(events(1, 2, 3, 4));
  });

  // Guards against an endpoint that is read while its caller takes nothing.
  it('goes on to read from the endpoint only once the caller has taken the held events', async () => {
    openPending();
    feed(event(1));
    feed(event(2));
    isCallerFull = true;
    decide(true);
    await settle();
    expect([text(), resumes]).to.deep.equal([events(1, 2), 0]);
    drain?.();
    expect(resumes).to.equal(1);
  });

  it('ends the response after the held events if it is complete while they are held', async () => {
    openPending();
    feed(event(1));
    feed(event(2));
    const completed = sink.onComplete(head);
    await settle();
    expect(received).to.deep.equal([]);
    decide(true);
    expect(await completed).to.deep.equal({
      kind: 'delivered',
      status: STATUS_OK,
    });
    expect([received[0], text(), received.at(-1)]).to.deep.equal([
      'start',
      events(1, 2),
      'end',
    ]);
  });

  // Guards against a response that breaks off within a held event and counts as complete.
  it('judges the end of the response by the held events', async () => {
    openPending();
    feed(event(1));
    feed('id: 2\ndata:');
    const completed = sink.onComplete(head);
    decide(true);
    expect(await completed).to.deep.equal({
      kind: 'broken',
      breakage: 'partial-event',
    });
    expect(received).to.deep.equal(['start', event(1)]);
  });

  // Guards against events of an endpoint that must not begin the stream.
  it('passes nothing on that was not admitted', async () => {
    openPending();
    feed(event(1));
    feed(event(2));
    decide(false);
    await settle();
    expect([received, relay.events, resumes]).to.deep.equal([[], 0, 0]);
  });

  it('withdraws a response that is complete before it was not admitted', async () => {
    openPending();
    feed(event(1));
    const completed = sink.onComplete(head);
    decide(false);
    expect(await completed).to.deep.equal({ kind: 'withdrawn' });
    expect([received, relay.events]).to.deep.equal([[], 0]);
  });

  it('lets a later attempt begin the stream that was not admitted', async () => {
    openPending();
    feed(event(1));
    decide(false);
    await settle();
    sink = relay.sink(attempt);
    sink.onHead(head);
    feed(event(1));
    decide(true);
    await settle();
    expect([received, admissions]).to.deep.equal([['start', event(1)], 2]);
  });

  it('counts held bytes as not passed on', async () => {
    openPending();
    feed(event(1));
    feed(event(2));
    expect(relay.heldBytes).to.equal(events(1, 2).length);
    decide(true);
    await settle();
    expect(relay.heldBytes).to.equal(0);
  });

  // Guards against events that are passed on although it failed to be decided, and a router that ends by the rejection.
  it('ends the attempt if the decision fails, and passes nothing on', async () => {
    openPending();
    feed(event(1));
    feed(event(2));
    reject(lost);
    expect(await rejections.settle()).to.deep.equal([]);
    expect(aborted).to.deep.equal([
      { kind: 'broken', breakage: 'unproven-answer' },
    ]);
    expect(feed(event(3))).to.equal(true);
    expect([received, relay.events, resumes]).to.deep.equal([[], 0, 0]);
    expect([admissions, aborted.length]).to.deep.equal([1, 1]);
  });

  // Guards against a response that counts as delivered although its events are not.
  it('ends the attempt before a response that is complete if the decision fails', async () => {
    for (const isCompleteBefore of [true, false]) {
      aborted = [];
      openPending();
      feed(event(1));
      const complete = async () => {
        try {
          return await sink.onComplete(head);
        } catch {
          return 'rejected';
        }
      };
      const early = isCompleteBefore ? complete() : undefined;
      reject(lost);
      await rejections.settle();
      expect(aborted).to.have.length(1);
      expect(await (early ?? complete())).to.equal('rejected');
      expect(await rejections.settle()).to.deep.equal([]);
      expect([received, relay.events]).to.deep.equal([[], 0]);
    }
  });

  it('lets a later attempt begin the stream of which the decision failed', async () => {
    openPending();
    feed(event(1));
    reject(lost);
    await rejections.settle();
    sink = relay.sink(attempt);
    sink.onHead(head);
    feed(event(1));
    decide(true);
    await settle();
    expect([received, admissions]).to.deep.equal([['start', event(1)], 2]);
    expect(await rejections.settle()).to.deep.equal([]);
  });

  // Guards against events that follow one for which the attempt was ended.
  it('passes nothing on after a held event that is too large', async () => {
    openPending();
    feed(event(1));
    feed(`id: 2\ndata: ${'x'.repeat(MAX_EVENT_BYTES)}`);
    feed(`\n\n${event(3)}`);
    const completed = sink.onComplete(head);
    decide(true);
    await completed;
    expect(aborted).to.deep.equal([{ kind: 'broken', breakage: 'malformed' }]);
    expect(received).to.deep.equal(['start', event(1)]);
    expect([relay.events, resumes]).to.deep.equal([1, 0]);
  });
});
