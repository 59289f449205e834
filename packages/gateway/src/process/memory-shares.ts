/** How the memory of a VM is divided between the program and what callers and endpoints make it hold. */

const MEBIBYTE = 1_048_576;
/** Resident memory of the process under load, without the bodies of requests and responses. */
const PROGRAM_BYTES = 112 * MEBIBYTE;
/** VM memory that is assumed if the settings do not tell. */
const DEFAULT_VM_BYTES = 240 * MEBIBYTE;
/** Shares of the rest; what is left of it is for buffers that were released and not collected yet. */
const REQUEST_SHARE = 0.4;
const RESPONSE_SHARE = 0.2;
/** A router on a VM that is too small still serves some requests at a time. */
const MIN_SHARE_BYTES = 8 * MEBIBYTE;

export interface MemoryShares {
  /** Bytes of all request bodies. */
  readonly requests: number;
  /** Bytes of all responses that callers have not got yet. */
  readonly responses: number;
}

/** `vmMegabytes` is the memory of the VM in MiB. */
export function memoryShares(vmMegabytes: number | undefined): MemoryShares {
  const vmBytes =
    vmMegabytes === undefined ? DEFAULT_VM_BYTES : vmMegabytes * MEBIBYTE;
  const rest = Math.max(0, vmBytes - PROGRAM_BYTES);
  const shareOf = (fraction: number) =>
    Math.max(MIN_SHARE_BYTES, Math.floor(rest * fraction));
  return {
    requests: shareOf(REQUEST_SHARE),
    responses: shareOf(RESPONSE_SHARE),
  };
}
