/** Detects responses that are truncated or contain content of another response. */

/** `truncated` is a proper prefix of the expected response. */
export type ResponseMatch = 'complete' | 'truncated' | 'mixed';

/** Compares the tokens received so far with the expected response. */
export function compareResponse(
  tokens: readonly string[],
  expected: readonly string[],
): ResponseMatch {
  const isPrefix = tokens.every((token, index) => token === expected[index]);
  if (!isPrefix) {
    return 'mixed';
  }
  return tokens.length === expected.length ? 'complete' : 'truncated';
}
