/** Result of a request as its caller sees it. */
import type { PromptUsage } from './response-stream';
import type { ProblemDocument } from './problem';

/** Latencies and token usage of a response. */
export interface ResponseTimes {
  readonly firstTokenMs: number;
  readonly gapsMs: readonly number[];
  readonly usage: PromptUsage | undefined;
}

export type CallResult =
  | {
      readonly kind: 'ok';
      readonly text: string;
      readonly times?: ResponseTimes;
    }
  | {
      readonly kind: 'refused';
      readonly problem: ProblemDocument;
      /** Whether no earlier attempt of the same request was sent. */
      readonly isOnlyAttempt: boolean;
      /** Whether part of the response had arrived before. */
      readonly partial: boolean;
    }
  /** Neither a complete response nor a refusal arrived: the caller knows that the outcome is unknown. */
  | { readonly kind: 'unknown'; readonly detail: string }
  /** The end marker arrived, but the response is truncated. */
  | { readonly kind: 'cut-as-whole'; readonly detail: string }
  /** The response contains content of another response, a duplicate or a gap. */
  | { readonly kind: 'mixed'; readonly detail: string };
