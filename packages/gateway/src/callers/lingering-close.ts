/**
 * Closes the connection of a caller that is still sending its request. A close with unread bytes
 * resets the connection, and the caller may lose the response that it has not read yet.
 */
import type { IncomingMessage } from 'node:http';

import type { TimerService } from '@sesamegrade/core/time/timer-service';
import { seconds } from '@sesamegrade/core/types/units';
import type { Milliseconds } from '@sesamegrade/core/types/units';

/** Time for which the rest of a request is read and discarded after its response. */
const LINGER_TIME: Milliseconds = seconds(2);

/** Lets Node.js end only the router's side when the response is written, and reads on for a bounded time. */
export function lingerAtClose(
  request: IncomingMessage,
  timers: Pick<TimerService, 'after'>,
): void {
  const { socket } = request;
  socket.destroySoon = () => {
    socket.end();
    request.removeAllListeners('data');
    request.resume();
    const cancel = timers.after(LINGER_TIME, () => {
      socket.destroy();
    });
    socket.once('close', cancel);
  };
}
