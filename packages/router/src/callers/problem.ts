/** Converts refusals to problem documents (RFC 9457). */
import type { Refusal } from '@sesamegrade/core/requests/types';
import type { Outcome } from '@sesamegrade/core/types/outcome';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';

/** Body of an `application/problem+json` response. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail?: string;
  readonly outcome: Outcome;
  readonly requestId: string;
}

/** A problem document and the headers of its response. */
export interface ProblemResponse {
  readonly document: Problem;
  readonly headers: Record<string, string>;
}

const TYPE_PREFIX = 'urn:sesamegrade:problem:';
const MS_PER_SECOND = 1000;

interface ProblemType {
  readonly status: number;
  readonly title: string;
}

const PROBLEM_TYPES: Readonly<Record<RefusalReason['kind'], ProblemType>> = {
  'malformed-request': { status: 400, title: 'The request is malformed' },
  unauthenticated: { status: 401, title: 'No valid key was given' },
  'unknown-model': { status: 404, title: 'There is no such model' },
  'unknown-service': { status: 404, title: 'There is no such service' },
  'body-too-large': { status: 413, title: 'The body is too large' },
  'key-required': { status: 400, title: 'An Idempotency-Key is required' },
  'key-conflict': {
    status: 422,
    title: 'The Idempotency-Key was used with another body',
  },
  'team-over-limit': { status: 429, title: 'The team is over its share' },
  overloaded: { status: 503, title: 'Every endpoint is at its bound' },
  'no-endpoint': { status: 503, title: 'No endpoint is available' },
  'poison-suspect': {
    status: 503,
    title: 'The same content crashed endpoints before',
  },
  'store-unavailable': { status: 503, title: 'Orders cannot be recorded' },
  stopping: { status: 503, title: 'The router is stopping' },
  'deadline-exceeded': { status: 504, title: 'The deadline passed' },
  'endpoint-refused': { status: 503, title: 'The endpoint refused' },
  'answer-lost': { status: 502, title: 'The answer was lost' },
  'order-unsettled': {
    status: 409,
    title: 'An earlier call with this key has no recorded answer',
  },
  'stream-gone': { status: 410, title: 'The stream cannot be resumed' },
};

/** Builds the problem document and the headers for a refusal. */
export function problemOf(
  refusal: Refusal,
  requestId: string,
): ProblemResponse {
  const { reason, outcome, retryAfter } = refusal;
  const { status, title } = PROBLEM_TYPES[reason.kind];
  const detail = detailOf(reason);
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'cache-control': 'no-store',
  };
  if (retryAfter !== undefined) {
    headers['retry-after'] = String(Math.ceil(retryAfter / MS_PER_SECOND));
  }
  if (reason.kind === 'unauthenticated') {
    headers['www-authenticate'] = 'Bearer';
  }
  const document = {
    type: TYPE_PREFIX + reason.kind,
    title,
    status,
    ...(detail === undefined ? {} : { detail }),
    outcome,
    requestId,
  };
  return { document, headers };
}

function detailOf(reason: RefusalReason): string | undefined {
  switch (reason.kind) {
    case 'malformed-request':
      return reason.detail;
    case 'unknown-model':
      return `model "${reason.model}" is not served here`;
    case 'unknown-service':
      return `service "${reason.service}" is not served here`;
    case 'body-too-large':
      return `the limit is ${reason.limitBytes} bytes`;
    case 'key-required':
      return `calls to "${reason.service}" may not be repeated`;
    default:
      return undefined;
  }
}
