/** Whether a request was run, as far as the router knows for certain. */
export type Outcome = 'not_run' | 'ran' | 'unknown';
