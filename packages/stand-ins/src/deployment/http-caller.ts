/**
 * A caller that reports how its response ended. HTTP clients do not tell a reset
 * from the end of a body without length and chunks, so it looks at the socket.
 */
import { request } from 'node:http';
import type { Agent, IncomingHttpHeaders, IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';

export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /**
   * Whether the message ended as its framing requires. Without length and chunks
   * that is any close of the connection other than a reset.
   */
  readonly isComplete: boolean;
}

export interface OutgoingRequest {
  /** Base URL of the router. */
  readonly url: string;
  readonly path: string;
  readonly method?: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Called once the last byte was given to an open connection. */
  readonly onSent?: () => void;
  /** Receives the response before its body is read, for example to pause it. */
  readonly onResponse?: (response: IncomingMessage) => void;
  /** Keeps connections open for further requests; its callers see no reset after an unframed body. */
  readonly agent?: Agent;
  /** Lets the caller leave. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request, on a connection of its own without an agent, and reads the response to its end;
 * resolves with undefined if there is no response.
 */
export function callOverHttp(
  call: OutgoingRequest,
): Promise<ReceivedResponse | undefined> {
  return new Promise(resolve => {
    let hasResponse = false;
    let wasReset = false;
    const createConnection = ({ port }: { port?: string | number | null }) => {
      const socket = connect({
        host: LOOPBACK,
        port: Number(port),
        allowHalfOpen: true,
      });
      socket.on('end', () => {
        wasReset ||= isReset(socket);
      });
      return socket;
    };
    const outgoing = request(new URL(call.path, call.url), {
      ...(call.signal && { signal: call.signal }),
      ...(call.agent ? { agent: call.agent } : { createConnection }),
      method: call.method ?? 'POST',
      headers: { connection: 'keep-alive', ...call.headers },
    });
    outgoing.on('error', () => {
      wasReset = true;
      if (!hasResponse) {
        resolve(undefined);
      }
    });
    outgoing.on('response', response => {
      hasResponse = true;
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
      });
      response.on('error', () => undefined);
      response.on('close', () => {
        outgoing.destroy();
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('latin1'),
          // A reset ends a body without length and chunks, as far as the parser is concerned.
          isComplete: response.complete && !wasReset,
        });
      });
      call.onResponse?.(response);
    });
    outgoing.on('finish', () => {
      call.onSent?.();
    });
    outgoing.end(call.body);
  });
}

/**
 * Whether the peer reset a connection whose end was read: Node.js reports a reset
 * that arrives with the last bytes as a regular end, but a write then fails.
 */
export function isReset(socket: Socket): boolean {
  socket.write('');
  return socket.errored !== null;
}
