/** How a command ends. */

/** Exit codes of every command. */
export enum ExitCode {
  Fine = 0,
  /** Findings, or a refusal. */
  Findings = 1,
  WrongUsage = 2,
}
