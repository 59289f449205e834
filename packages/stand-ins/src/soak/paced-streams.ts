/** Resumable streams of a service of its own, whose callers lose their connections. */
import type { Random } from '@sesamegrade/core/random/random';
import { sendPacedStream } from '../deployment/broken-stream';
import { TEST_HOST, TEST_KEY } from '../deployment/deployment-documents';
import type { TestRoute } from '../deployment/deployment-documents';
import { callOverHttp } from '../deployment/http-caller';
import type { ReceivedResponse } from '../deployment/http-caller';
import type { RouterProcess } from '../deployment/router-process';
import {
  asksForReport,
  completeResponse,
  reportResponse,
} from '../deployment/scripted-server';
import type { Script } from '../deployment/scripted-server';
import { SoakInvariantChecker } from './soak-invariant-checker';
import type { TakeUpOutcome } from './take-up-record';

const EVENT_INTERVALS_MS = [100, 150, 250];
/** Time after which a caller loses the connection to a router. */
const BREAK_MS = { min: 120, max: 900 };
const DEADLINE_MS = 2000;
const STATUS_OK = 200;

export function pacedRoute(service: string): TestRoute {
  return {
    name: service,
    prefix: `/${service}/`,
    kind: 'streaming',
    service,
    maxAttempts: 2,
    resumable: true,
  };
}

export interface PacedEndpoint {
  readonly service: string;
  readonly version: string;
  /** Start of the process in Unix milliseconds. */
  readonly born: number;
  readonly random: Random;
}

export function pacedScript({
  service,
  version,
  born,
  random,
}: PacedEndpoint): Script {
  return (request, socket) => {
    if (asksForReport(request)) {
      socket.write(reportResponse(request, born));
      return;
    }
    if (!request.target.startsWith(pacedRoute(service).prefix)) {
      socket.write(completeResponse(request, ''));
      return;
    }
    const { headers } = request;
    const origin =
      headers.get('resumes') ?? headers.get('sesamegrade-request-id') ?? '';
    const events = SoakInvariantChecker.streamEvents(origin, version);
    sendPacedStream(request, socket, events, random.pick(EVENT_INTERVALS_MS));
  };
}

/** The software version whose events a caller has; empty without events. */
export function versionIn(received: string): string {
  const [, version = ''] = / by (v\d+)/u.exec(received) ?? [];
  return version;
}

export interface PacedCall {
  readonly service: string;
  readonly router: RouterProcess;
  readonly id: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly random: Random;
}

/** Requests a stream, and loses the connection after a while. */
export function callAndLose({
  service,
  router,
  id,
  headers,
  random,
}: PacedCall): Promise<ReceivedResponse | undefined> {
  const breakAfterMs = random.integer(BREAK_MS.min, BREAK_MS.max);
  return callOverHttp({
    url: `http://${router.callerAddress}`,
    // Streams with the same content would be refused once two of them broke with their endpoints.
    path: `${pacedRoute(service).prefix}${headers.resumes ?? id}`,
    headers: {
      host: TEST_HOST,
      'sesamegrade-request-id': id,
      'sesamegrade-deadline-ms': String(DEADLINE_MS),
      authorization: `Bearer ${TEST_KEY}`,
      ...headers,
    },
    onResponse: response => {
      setTimeout(() => response.destroy(), breakAfterMs);
    },
  });
}

export function outcomeOf(
  response: ReceivedResponse | undefined,
): TakeUpOutcome {
  if (!response) {
    return 'unanswered';
  }
  return response.status === STATUS_OK ? 'went-on' : 'refused';
}
