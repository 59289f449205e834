/** Sends a request of the router itself to an endpoint and reads the whole response. */
import type { TimerService } from '@sesamegrade/core/time/timer-service';
import type { Milliseconds } from '@sesamegrade/core/types/units';
import type { HeaderList } from '../callers/caller-protocol';
import type { EndpointConnection } from './endpoint-connection';

export interface EndpointQuery {
  readonly connection: EndpointConnection;
  readonly target: string;
  readonly timers: TimerService;
  readonly timeout: Milliseconds;
  /** Largest body that is read. */
  readonly maxBytes: number;
  readonly onHead: (status: number, headers: HeaderList) => void;
}

export interface QueryResponse {
  readonly status: number;
  readonly body: Buffer;
}

/**
 * Resolves with undefined if there is no complete response in time. Closes the
 * connection, as a late response would be taken for that of a later request.
 */
export function queryEndpoint({
  connection,
  target,
  timers,
  timeout,
  maxBytes,
  onHead,
}: EndpointQuery): Promise<QueryResponse | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  let status = 0;
  return new Promise(resolve => {
    const cancel = timers.after(timeout, () => {
      connection.destroy();
      resolve(undefined);
    });
    connection.send(
      { method: 'GET', target, headers: [], body: undefined },
      {
        onSent: () => undefined,
        onHead: (received, headers) => {
          status = received;
          onHead(received, headers);
        },
        onData: chunk => {
          chunks.push(chunk);
          size += chunk.length;
          if (size > maxBytes) {
            connection.destroy();
          }
          return true;
        },
        onEnd: ({ kind }) => {
          cancel();
          connection.destroy();
          resolve(
            kind === 'complete'
              ? { status, body: Buffer.concat(chunks) }
              : undefined,
          );
        },
      },
    );
  });
}
