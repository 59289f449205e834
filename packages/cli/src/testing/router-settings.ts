/** Settings of a router that a test starts as a process, without a store. */
import { freePort } from '@sesamegrade/stand-ins/http/free-port';

export interface RouterSettings {
  readonly callersPort: number;
  readonly metricsPort: number;
  /** The settings file's text; `slack` is the number of retries per window, `graceSeconds` the time from SIGTERM to SIGKILL. */
  text(slack: number, graceSeconds?: number): string;
}

export async function newRouterSettings(): Promise<RouterSettings> {
  const [callersPort, readyPort, peersPort, metricsPort] = await Promise.all([
    freePort(),
    freePort(),
    freePort(),
    freePort(),
  ]);
  return {
    callersPort,
    metricsPort,
    text: (slack, graceSeconds = 1) => `[router]
id = r
zone = a
callers = 127.0.0.1:${callersPort}
ready = 127.0.0.1:${readyPort}
peers = 127.0.0.1:${peersPort}
metrics_port = ${metricsPort}
[store]
address = 127.0.0.1:1
[stop]
grace_seconds = ${graceSeconds}
[retries]
ratio = 0.2
window_seconds = 10
slack = ${slack}
`,
  };
}
