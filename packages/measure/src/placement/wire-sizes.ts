/** Bytes on the wire of what a simulated router sends, as the real one frames it. */

/** TCP, IP and WebSocket headers and the call envelope of one message. */
export const MESSAGE_OVERHEAD_BYTES = 100;

/** A question to a keeper beside its envelope. */
export const LOAD_CHECK_REQUEST_BYTES = 60;

/** The answer to a question, with its envelope. */
export const LOAD_CHECK_RESPONSE_BYTES = 125;

/** One further endpoint's load in an answer. */
export const LOAD_ENTRY_BYTES = 13;

/** One poll of an engine's health, whose answer's headers give its load. */
export const HEALTH_POLL_BYTES = 400;

/** Load headers of one answer. */
export const LOAD_HEADERS_BYTES = 70;

/** The echoed last place, once in the request and once in the answer. */
export const AFFINITY_HEADERS_BYTES = 80;
