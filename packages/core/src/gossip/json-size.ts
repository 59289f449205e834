import { bytes } from '../types/units';
import type { Bytes } from '../types/units';

/** Returns the size of a value's JSON text in UTF-8. */
export function jsonSize(value: unknown): Bytes {
  const text = JSON.stringify(value);
  let size = 0;
  for (let index = 0; index < text.length; index += 1) {
    size += unitSize(text.charCodeAt(index));
  }
  return bytes(size);
}

/**
 * Returns the UTF-8 bytes of one UTF-16 unit; the two of a surrogate pair make
 * up four.
 */
function unitSize(unit: number): number {
  if (unit < 0x80) {
    return 1;
  }
  const surrogate = unit >= 0xd800 && unit <= 0xdfff;
  return unit < 0x800 || surrogate ? 2 : 3;
}
