import { openSync, readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';

import { expect } from 'chai';

import { ManualTimerService } from '@sesamegrade/core/time/manual-timer-service';
import { milliseconds } from '@sesamegrade/core/types/units';
import { FileOutput } from './file-output';
import { MAX_BUFFERED_BYTES } from './log-output';
import { openLogger } from './logger';
import { StreamOutput } from './stream-output';

type Done = (error?: Error) => void;

/** A pipe whose reader takes lines when a test lets it. */
class ReadPipe extends Writable {
  readonly taken: string[] = [];
  error: Error | undefined;
  isStalled = false;
  #next: (() => void) | undefined;

  constructor() {
    super({ autoDestroy: false, decodeStrings: false });
  }

  override _write(line: string, _encoding: string, done: Done): void {
    const take = () => {
      if (!this.error) {
        this.taken.push(line);
      }
      done(this.error);
    };
    if (this.isStalled) {
      this.#next = take;
    } else {
      take();
    }
  }

  resumeReading(): void {
    this.isStalled = false;
    this.#next?.();
  }
}

function setUp() {
  const pipe = new ReadPipe();
  const output = new StreamOutput(pipe);
  const logger = openLogger({
    level: 'info',
    fields: {},
    output,
    timestamps: false,
  });
  return { pipe, output, logger };
}

/** Waits until callbacks of streams have run. */
function settle(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

describe('LogOutput', () => {
  // Guards against a router that runs out of memory while the reader of its log stalls.
  it('keeps a bounded number of bytes while its reader stalls, counts the lines above and goes on later', async () => {
    const { pipe, output, logger } = setUp();
    pipe.isStalled = true;
    for (let count = 0; count < 10_000; count += 1) {
      logger.info('x'.repeat(1000));
    }
    expect(pipe.writableLength).to.be.at.most(MAX_BUFFERED_BYTES);
    expect(output.dropped).to.be.above(9000);
    pipe.resumeReading();
    await settle();
    expect(pipe.taken.length + output.dropped).to.equal(10_000);
    logger.info('back');
    await settle();
    expect(pipe.taken.at(-1)).to.include('back');
  });

  // Guards against a process that ends with all its requests as a line cannot be written.
  it('counts the lines that could not be written', async () => {
    const { pipe, output, logger } = setUp();
    pipe.error = Object.assign(new Error('write EPIPE'), { code: 'EPIPE' });
    logger.info('lost');
    await settle();
    expect(output.dropped).to.equal(1);
  });

  it('is closed once all lines are written', async () => {
    const { pipe, output, logger } = setUp();
    pipe.isStalled = true;
    logger.info('first');
    logger.info('last');
    const closed = output.close(new ManualTimerService());
    pipe.resumeReading();
    await closed;
    expect(pipe.taken.join('')).to.match(/first.*\n.*last/u);
  });

  it('is closed after a bounded time if its reader stalls', async () => {
    const { pipe, output, logger } = setUp();
    const timers = new ManualTimerService();
    pipe.isStalled = true;
    logger.info('first');
    const closed = output.close(timers);
    timers.advance(milliseconds(200));
    await closed;
    expect(pipe.taken).to.be.empty;
  });

  describe('to a file', () => {
    let folder: string;

    beforeEach(async () => {
      folder = await mkdtemp(join(tmpdir(), 'log-'));
    });

    afterEach(async () => {
      await rm(folder, { recursive: true });
    });

    it('writes each line once and in order', async () => {
      const file = join(folder, 'log');
      const output = new FileOutput(openSync(file, 'a'));
      for (let count = 0; count < 100; count += 1) {
        output.write(`${count}\n`);
      }
      await output.close(new ManualTimerService());
      const expected = Array.from({ length: 100 }, (_, count) => `${count}\n`);
      expect(readFileSync(file, 'utf8')).to.equal(expected.join(''));
      expect(output.dropped).to.equal(0);
    });

    // Guards against a router that ends, or fills its memory, when the disk is full.
    it('keeps a bounded number of bytes while the disk is full', async () => {
      const output = new FileOutput(openSync('/dev/full', 'w'));
      for (let count = 0; count < 1000; count += 1) {
        output.write(`${'x'.repeat(999)}\n`);
        await settle();
      }
      const most = MAX_BUFFERED_BYTES / 1000;
      expect(output.dropped).to.be.at.least(Math.floor(1000 - most));
    });
  });
});
