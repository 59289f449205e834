/** Bytes on the wire of what a simulated router sends, as the real one frames it. */

/** TCP, IP and WebSocket headers and the call envelope of one message. */
export const messageOverhead = 100;

/** A question to a keeper beside its envelope. */
export const questionSize = 60;

/** The answer to a question, with its envelope. */
export const answerSize = 125;

/** One further endpoint's load in an answer. */
export const loadSize = 13;

/** One poll of an engine's health, whose answer's headers give its load. */
export const pollSize = 400;

/** Load headers of one answer. */
export const loadHeadersSize = 70;

/** The echoed last place, once in the request and once in the answer. */
export const placeHeadersSize = 80;
