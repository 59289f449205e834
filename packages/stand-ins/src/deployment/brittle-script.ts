/**
 * Behaviour of a server that runs a few requests at once, lets a few wait, and ends
 * when it has to reject more in a second than it says that it can bear.
 */
import type { InstanceScript } from './restarting-server';
import { completeResponse, notExecutedResponse } from './scripted-server';

export interface BrittleScriptOptions {
  readonly slots: number;
  /** Requests that wait for a slot. */
  readonly queue: number;
  /** Milliseconds that a request runs. */
  readonly runTime: number;
  /** Rejections in a second beyond which the server ends. */
  readonly maxRejections: number;
}

const SECOND_MS = 1000;

export function brittleScript(options: BrittleScriptOptions): InstanceScript {
  const { slots, queue, runTime, maxRejections } = options;
  const headers = [`Server-Brittle: ${maxRejections}`];
  let running = 0;
  let waiting: (() => void)[] = [];
  let rejectedAt: number[] = [];
  let instance = 0;
  return (request, socket, end) => {
    const startedBy = instance;
    const run = () => {
      running += 1;
      setTimeout(() => {
        if (startedBy === instance) {
          running -= 1;
          socket.write(completeResponse(request, 'whole', 200, headers));
          waiting.shift()?.();
        }
      }, runTime);
    };
    if (running < slots) {
      run();
      return;
    }
    if (waiting.length < queue) {
      waiting.push(run);
      return;
    }
    const now = performance.now();
    rejectedAt = rejectedAt.filter(at => now - at < SECOND_MS);
    rejectedAt.push(now);
    if (rejectedAt.length <= maxRejections) {
      socket.write(notExecutedResponse(request, 503, headers));
      return;
    }
    instance += 1;
    running = 0;
    waiting = [];
    rejectedAt = [];
    end();
  };
}
