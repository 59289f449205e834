/** Base class of the program's commands, and the exit codes that they share. */
import type { CAC } from 'cac';

/** Process exit codes, documented in docs/OPERATIONS.md. */
export const ExitCode = {
  success: 0,
  /** The command ran and found a failure, such as a violated guarantee under load. */
  failure: 1,
  /** The command line itself is wrong. */
  usage: 2,
  /** A settings file or an operator's change is invalid. */
  invalid: 3,
  /** A router or the platform could not be reached. */
  unreachable: 4,
  /** An operator's change conflicts with one that was accepted before it. */
  conflict: 5,
} as const;

export type ExitStatus = (typeof ExitCode)[keyof typeof ExitCode];

/** A command that registers itself at the command line; its action resolves to an exit status. */
export abstract class Command {
  abstract register(
    cli: CAC,
    run: (action: () => Promise<ExitStatus>) => void,
  ): void;
}
