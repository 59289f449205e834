/** Reads a request body up to a size limit; encoded bodies are refused. */
import type { IncomingMessage } from 'node:http';

import getRawBody from 'raw-body';

import { fail, succeed } from '@sesamegrade/core/types/result';
import type { Result } from '@sesamegrade/core/types/result';
import type { RefusalReason } from '@sesamegrade/core/types/refusal';

/** Resolves to the bytes of the body or to the reason of a refusal; never rejects. */
export async function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer, RefusalReason>> {
  const encoding = request.headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    const detail = `content-encoding "${encoding}" is not accepted`;
    return fail({ kind: 'malformed-request', detail });
  }
  try {
    const body = await getRawBody(request, {
      limit: limitBytes,
      length: request.headers['content-length'] ?? null,
    });
    return succeed(body);
  } catch (error) {
    return fail(reasonOf(error, limitBytes));
  }
}

function reasonOf(error: unknown, limitBytes: number): RefusalReason {
  const type = error instanceof Error && 'type' in error ? error.type : '';
  if (type === 'entity.too.large') {
    return { kind: 'body-too-large', limitBytes };
  }
  return { kind: 'malformed-request', detail: 'the body ended early' };
}
