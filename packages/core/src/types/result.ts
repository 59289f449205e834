/** Either a value or a typed failure, in place of an exception. */
export type Result<Value, Failure> =
  | { readonly ok: true; readonly value: Value }
  | { readonly ok: false; readonly failure: Failure };

export function succeed<Value>(value: Value): {
  readonly ok: true;
  readonly value: Value;
} {
  return { ok: true, value };
}

export function fail<Failure>(failure: Failure): {
  readonly ok: false;
  readonly failure: Failure;
} {
  return { ok: false, failure };
}
