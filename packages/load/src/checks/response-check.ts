/** Tells whole answers of one's own from mixed and from silently cut ones. */

/** `cut` is a proper beginning of the expected answer. */
export type ResponseMatch = 'whole' | 'cut' | 'mixed';

/** Compares the tokens of an answer that came to its explicit end. */
export function compareResponse(
  tokens: readonly string[],
  expected: readonly string[],
): ResponseMatch {
  const beginning = tokens.every((token, index) => token === expected[index]);
  if (!beginning) {
    return 'mixed';
  }
  return tokens.length === expected.length ? 'whole' : 'cut';
}
