/** As the platform does, kills a process that exceeds the memory of its machine, and starts it again. */
import { readFileSync } from 'node:fs';
import { setInterval } from 'node:timers';

const CHECK_PERIOD_MS = 50;
const RESTART_DELAY_MS = 500;

/** Resident memory of a process in MiB; undefined if it has ended. */
export function residentMb(pid) {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB/mu.exec(status)?.[1]) / 1024;
  } catch {
    return undefined;
  }
}

/** Watches the machine of a node; `onKill` is called with the memory in MiB that it had. */
export class MemoryLimit {
  peakMb = 0;

  constructor(deployment, node, limitMb, onKill) {
    setInterval(() => {
      const resident = residentMb(node.process.pid);
      if (resident === undefined) {
        return;
      }
      this.peakMb = Math.max(this.peakMb, resident);
      if (resident > limitMb && node.process.signalCode === null) {
        node.process.kill('SIGKILL');
        onKill(resident);
        node.process.once('exit', () => {
          setTimeout(() => deployment.restart(node), RESTART_DELAY_MS);
        });
      }
    }, CHECK_PERIOD_MS).unref();
  }
}
