/** How a request ended for its caller. */
import type { PromptUsage } from './response-stream';
import type { ProblemDocument } from './problem';

/** Times and usage of an answer. */
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
      /** Whether no other try of the same request went before. */
      readonly isOnlyAttempt: boolean;
      /** Whether part of the answer had arrived. */
      readonly partial: boolean;
    }
  /** No answer and no refusal; the caller knows that it does not know. */
  | { readonly kind: 'unknown'; readonly detail: string }
  /** The explicit end came, but not all of the answer. */
  | { readonly kind: 'cut-as-whole'; readonly detail: string }
  /** Something of another answer, a duplicate or a gap. */
  | { readonly kind: 'mixed'; readonly detail: string };
