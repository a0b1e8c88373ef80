/** How a command ends. */

/** Exit codes of every command. */
export enum ExitCode {
  Success = 0,
  /** Findings, or a refusal. */
  Failure = 1,
  InvalidUsage = 2,
}
