/** Collects from the logs of many routers the lines that explain the outcome of one request. */

/** One line of a log. */
export interface LogLine {
  readonly timestamp: string;
  readonly router: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface RequestTrace {
  /** Lines that bear the request's id, in order of time. */
  readonly own: readonly LogLine[];
  /**
   * State changes of the routers involved, from `CONTEXT_MS` before the
   * request's first line to its last.
   */
  readonly around: readonly LogLine[];
  /** Number of lines that are not a router's JSON documents. */
  readonly unreadable: number;
}

/** State changes older than this rarely decide a request. */
const CONTEXT_MS = 5000;

/** Kinds of lines that report the state of an endpoint, a dependency or a process. */
const CONTEXT_KINDS: ReadonlySet<string> = new Set([
  'endpoint',
  'endpoint-standing',
  'configuration',
  'configuration-unreadable',
  'dependency-lost',
  'dependency-regained',
  'feed-restart',
  'peer-lost',
  'start',
  'stop',
  'stop-begun',
  'stop-repeated',
  'lines-dropped',
]);

/** Builds the trace of a request from the lines of any number of logs, in any order. */
export function traceRequest(
  request: string,
  lines: Iterable<string>,
): RequestTrace {
  const own: LogLine[] = [];
  const context: LogLine[] = [];
  let unreadable = 0;
  for (const text of lines) {
    if (text.trim() === '') {
      continue;
    }
    const line = parseLine(text);
    if (!line) {
      unreadable += 1;
    } else if (line.fields.request === request) {
      own.push(line);
    } else if (CONTEXT_KINDS.has(line.message)) {
      context.push(line);
    }
  }
  own.sort(byTime);
  return { own, around: contextOf(own, context), unreadable };
}

function byTime(left: LogLine, right: LogLine): number {
  return left.timestamp.localeCompare(right.timestamp);
}

/** Selects the context lines of the request's routers close to its time. */
function contextOf(
  own: readonly LogLine[],
  context: readonly LogLine[],
): LogLine[] {
  const [first] = own;
  const last = own.at(-1);
  if (!first || !last) {
    return [];
  }
  const from = Date.parse(first.timestamp) - CONTEXT_MS;
  const to = Date.parse(last.timestamp);
  const routers = new Set(own.map(({ router }) => router));
  return context
    .filter(({ timestamp, router }) => {
      const at = Date.parse(timestamp);
      return routers.has(router) && at >= from && at <= to;
    })
    .sort(byTime);
}

function parseLine(text: string): LogLine | undefined {
  let document: unknown;
  try {
    document = JSON.parse(text.slice(text.indexOf('{')));
  } catch {
    // The line was written by another program than a router.
    return undefined;
  }
  if (typeof document !== 'object' || document === null) {
    return undefined;
  }
  const { timestamp, router, message, ...fields } = document as Record<
    string,
    unknown
  >;
  return typeof timestamp === 'string' &&
    typeof router === 'string' &&
    typeof message === 'string'
    ? { timestamp, router, message, fields }
    : undefined;
}

/** Fields that repeat the timestamp or the request's id, or are of no use to a reader. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['at', 'request', 'level']);

/** Formats a line as text for operators. */
export function formatLine(line: LogLine): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [line.timestamp, line.router, line.message, ...fields].join(' ');
}
