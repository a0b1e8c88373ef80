/** Exit codes of all commands. */
export enum ExitCode {
  Success = 0,
  /** There were findings, or the operation failed. */
  Failure = 1,
  /** The arguments are invalid. */
  InvalidUsage = 2,
}
