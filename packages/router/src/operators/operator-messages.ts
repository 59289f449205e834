/** Schemas and types of the operators' API, shared by the server and its client. */
import { z } from 'zod';

import type { InvalidChange } from '@sesamegrade/core/configuration/change-check';
import { acceptedExceptionSchema } from '@sesamegrade/core/configuration/content';
import type { ProposalOutcome } from '@sesamegrade/core/configuration/proposal';

const acceptedSchema = z.object({
  version: z.number(),
  changeId: z.string(),
  who: z.string(),
  when: z.number(),
});

export const defaultsSchema = z.object({
  version: z.number(),
  settings: z.array(
    z.object({
      name: z.string(),
      value: z.json(),
      builtIn: z.json(),
      /** Whether an operator set the value. */
      set: z.boolean(),
      meaning: z.string(),
    }),
  ),
});

export const exceptionsSchema = z.object({
  version: z.number(),
  exceptions: z.array(acceptedExceptionSchema),
});

/** Fields of every change request: the operator, an id that makes resends idempotent, and the expected version. */
export const changeRequestSchema = z.object({
  who: z.string().trim().min(1).max(100),
  changeId: z.string().min(1).max(100).optional(),
  expected: z.int().min(0).optional(),
});

export const changeResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('committed'),
    version: z.number(),
    changeId: z.string(),
  }),
  z.object({ kind: z.literal('conflict'), winner: acceptedSchema }),
  z.object({ kind: z.literal('invalid'), problem: z.string() }),
  /** The change was not accepted and had no effect. */
  z.object({ kind: z.literal('not-accepted'), problem: z.string() }),
  /** The change may have been accepted; sending it again with the same id returns the final result. */
  z.object({ kind: z.literal('unknown'), changeId: z.string() }),
]);

export type ChangeResponse = z.infer<typeof changeResponseSchema>;
export type Defaults = z.infer<typeof defaultsSchema>;
export type Exceptions = z.infer<typeof exceptionsSchema>;

/** HTTP status of each kind of response to a change request. */
export const CHANGE_STATUS: Readonly<Record<ChangeResponse['kind'], number>> = {
  committed: 200,
  conflict: 409,
  invalid: 422,
  'not-accepted': 503,
  unknown: 504,
};

/** Describes an invalid change in one sentence, for the operator. */
export function describeProblem(problem: InvalidChange): string {
  switch (problem.kind) {
    case 'malformed':
      return problem.detail;
    case 'too-large':
      return `the change is longer than ${problem.limitBytes} bytes`;
    case 'unknown-setting':
      return `unknown setting "${problem.setting}"`;
    case 'wrong-value':
      return `invalid value for the setting "${problem.setting}": ${problem.detail}`;
    case 'wrong-scope': {
      const allowed = problem.allowed.join(', ') || 'none';
      return `the setting "${problem.setting}" allows exceptions only for scopes of kind: ${allowed}`;
    }
    case 'exception-exists':
      return `an exception with the id "${problem.id}" already exists`;
    case 'already-excepted':
      return `the exception "${problem.id}" already covers this setting and scope`;
    case 'no-such-exception':
      return `unknown exception id "${problem.id}"`;
  }
}

/** Converts the outcome of a proposal to the response for the operator. */
export function changeResponse(
  outcome: ProposalOutcome,
  changeId: string,
): ChangeResponse {
  switch (outcome.kind) {
    case 'committed':
      return { kind: 'committed', version: outcome.version, changeId };
    case 'conflict':
      return outcome;
    case 'invalid':
      return { kind: 'invalid', problem: describeProblem(outcome.problem) };
    case 'unreadable': {
      const { row, kind } = outcome.problem;
      return notAccepted(
        `the stored configuration row "${row}" cannot be used: ${kind}`,
      );
    }
    case 'store-unavailable':
      return notAccepted(
        'the configuration store is not reachable; nothing was changed',
      );
    case 'store-behind':
      return notAccepted(
        'the configuration store returned an older version than the one in force; nothing was changed',
      );
    case 'unsettled':
      return { kind: 'unknown', changeId };
  }
}

export function notAccepted(problem: string): ChangeResponse {
  return { kind: 'not-accepted', problem };
}
