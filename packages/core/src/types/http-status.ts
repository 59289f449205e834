const MIN_STATUS = 100;
const MAX_STATUS = 599;

/**
 * Whether a number is a status of HTTP. Parsers let all of three digits through; those outside
 * of 100 to 599 are invalid (RFC 9110, section 15), and callers may be unable to read them.
 */
export function isHttpStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}
