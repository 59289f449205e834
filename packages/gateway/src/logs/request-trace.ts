/** Finds in the logs of many routers what decided the fate of one request. */

/** One line of a log. */
export interface LogLine {
  readonly timestamp: string;
  readonly router: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface RequestTrace {
  /** Lines that name the request, in order of time. */
  readonly own: readonly LogLine[];
  /** What the routers and endpoints concerned went through shortly before and meanwhile. */
  readonly around: readonly LogLine[];
  /** Lines that are no JSON documents of a router. */
  readonly unreadable: number;
}

/** Changes of belief older than this rarely decide a request. */
const CONTEXT_MS = 5000;

/** Kinds of lines that tell of an endpoint, a dependency or a process. */
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
  'lines-dropped',
]);

/** Builds the story of a request from the lines of any number of logs. */
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
    const line = readLine(text);
    if (!line) {
      unreadable += 1;
    } else if (line.fields.request === request) {
      own.push(line);
    } else if (CONTEXT_KINDS.has(line.message)) {
      context.push(line);
    }
  }
  own.sort(byTime);
  return { own, around: concerned(own, context), unreadable };
}

function byTime(left: LogLine, right: LogLine): number {
  return left.timestamp.localeCompare(right.timestamp);
}

/** Keeps the lines of the request's routers, or of its endpoints, near its time. */
function concerned(
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

function readLine(text: string): LogLine | undefined {
  let document: unknown;
  try {
    document = JSON.parse(text.slice(text.indexOf('{')));
  } catch {
    // Output of something else between the lines of a router.
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

/** Fields that say nothing beside the time, the router and the request. */
const UNTOLD_FIELDS: ReadonlySet<string> = new Set(['at', 'request', 'level']);

/** Formats a line for a person. */
export function formatLine(line: LogLine): string {
  const fields = Object.entries(line.fields)
    .filter(([name]) => !UNTOLD_FIELDS.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return [line.timestamp, line.router, line.message, ...fields].join(' ');
}
