/** What a router may truthfully say about whether a request was run. */
export type Outcome = 'not_run' | 'ran' | 'unknown';
