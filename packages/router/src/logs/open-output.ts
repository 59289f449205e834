/** Opens an output of the process for log lines. */
import { Socket } from 'node:net';

import { FileOutput } from './file-output';
import type { LogOutput } from './log-output';
import { StreamOutput } from './stream-output';
import type { LogStream } from './stream-output';

/** Takes standard output or standard error, whatever it is redirected to. */
export function openOutput(
  stream: LogStream & { readonly fd: number },
): LogOutput {
  // Node.js writes to a file synchronously, and throws its errors.
  return stream instanceof Socket
    ? new StreamOutput(stream)
    : new FileOutput(stream.fd);
}
