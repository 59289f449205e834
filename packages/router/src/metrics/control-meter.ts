/** Measures the rate of bytes that this router exchanges with its peers. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { elapsed, seconds } from '@sesamegrade/core/types/units';
import type { Instant } from '@sesamegrade/core/types/units';
import type { PeerNetwork } from '../peers/peer-network';

export interface ControlMeterOptions {
  readonly peers: PeerNetwork;
  readonly timers: TimerService;
}

interface Sample {
  readonly at: Instant;
  readonly bytes: number;
}

const SAMPLE_PERIOD = seconds(1);
const MAX_SAMPLES = 11;
const MS_PER_SECOND = 1000;

export class ControlMeter {
  readonly #peers: PeerNetwork;
  readonly #timers: TimerService;
  readonly #samples: Sample[] = [];

  constructor(options: ControlMeterOptions) {
    this.#peers = options.peers;
    this.#timers = options.timers;
  }

  start(): () => void {
    return this.#timers.every(SAMPLE_PERIOD, now => {
      this.#samples.push({ at: now, bytes: this.#total() });
      if (this.#samples.length > MAX_SAMPLES) {
        this.#samples.shift();
      }
    });
  }

  /** Bytes read and written on sockets to peers per second, averaged over the last ten seconds. */
  get bytesPerSecond(): number {
    const first = this.#samples[0];
    const last = this.#samples.at(-1);
    if (!first || !last || first === last) {
      return 0;
    }
    const duration = elapsed(first.at, last.at);
    return ((last.bytes - first.bytes) * MS_PER_SECOND) / duration;
  }

  #total(): number {
    const { read, written } = this.#peers.bytes;
    return read + written;
  }
}
