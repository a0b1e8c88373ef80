/** Definitions of commands: usage, options, and the function that runs them. */
import type { ExitCode } from "./exit_code.ts";

/** An option of a command. */
export interface OptionDefinition {
  flags: string;
  description: string;
  /** False for an option without a value. */
  default?: string | false;
}

/**
 * A command of the program. Its `run` function imports what no other command
 * needs, so that a host starts with few modules.
 */
export interface CommandDefinition {
  /** Name and arguments as shown in the help: `get <kind> [name]`. */
  usage: string;
  description: string;
  options: OptionDefinition[];
  example: string;
  run: (invocation: CommandInvocation) => Promise<ExitCode> | ExitCode;
}

/** The parsed arguments of a command and its output functions. */
export interface CommandInvocation {
  /** Positional arguments; omitted optional ones are left out. */
  positional: string[];
  /** Values of options; of those without a value, whether they are given. */
  options: Record<string, string | boolean | undefined>;
  print: (line: string) => void;
  printError: (line: string) => void;
}

/** Returns the definition; gives its `run` function the right types. */
export function defineCommand(
  definition: CommandDefinition,
): CommandDefinition {
  return definition;
}

/** The option for the path of the settings file. */
export const settingsOption: OptionDefinition = {
  flags: "--settings",
  description: "The settings file of this host",
};

/** Returns the value of a required option; throws UsageError if missing. */
export function requiredOption(
  invocation: CommandInvocation,
  name: string,
): string {
  const value = invocation.options[name];
  if (typeof value === "string" && value !== "") return value;
  throw new UsageError(`Give the option --${name}`);
}

/** Thrown when the arguments of a command are invalid. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
