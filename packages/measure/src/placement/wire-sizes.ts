/** Bytes that a simulated router sends for each kind of message, framed as by the real one. */

/** TCP, IP and WebSocket headers and the call envelope of one message. */
export const MESSAGE_OVERHEAD_BYTES = 100;

/** A load check or affinity query to another router, without the envelope. */
export const QUERY_BYTES = 60;

/** The response to such a query, with its envelope. */
export const QUERY_RESPONSE_BYTES = 125;

/** The load of one further endpoint in a load check response. */
export const LOAD_ENTRY_BYTES = 13;

/** One health check of an engine; the headers of its response report the load. */
export const HEALTH_POLL_BYTES = 400;

/** Load headers of one response. */
export const LOAD_HEADERS_BYTES = 70;

/** The affinity headers of one request and its response. */
export const AFFINITY_HEADERS_BYTES = 80;
