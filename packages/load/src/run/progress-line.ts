/** A terminal line with the progress of a run. */
import type { LoadRun } from './load-run';

const PERIOD_MS = 500;
const CLEAR_LINE = '\r\u001b[K';

/** Shows the progress until the returned function is called; does nothing without a TTY. */
export function showProgress(
  run: LoadRun,
  output: NodeJS.WriteStream,
): () => void {
  if (!output.isTTY) {
    return () => undefined;
  }
  const timer = setInterval(() => {
    const { elapsedMs, requests, ok, refused, inFlight } = run.progress();
    const seconds = Math.round(elapsedMs / 1000);
    output.write(
      `${CLEAR_LINE}${seconds}/${run.plan.seconds} s  finished ${requests}  ok ${ok}  refused ${refused}  in flight ${inFlight}`,
    );
  }, PERIOD_MS);
  return () => {
    clearInterval(timer);
    output.write(CLEAR_LINE);
  };
}
