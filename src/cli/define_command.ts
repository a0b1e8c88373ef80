/** Commands as data: name, arguments, options, and what runs. */
import type { ExitCode } from "./exit_code.ts";

/** One option, with its description beside it. */
export interface OptionDefinition {
  flags: string;
  description: string;
  default?: string;
}

/** One command. */
export interface CommandDefinition {
  /** As shown in help, with arguments: `get <kind> [name]`. */
  usage: string;
  description: string;
  options: OptionDefinition[];
  example: string;
  run: (call: CommandInvocation) => Promise<ExitCode> | ExitCode;
}

/** A parsed call of a command. */
export interface CommandInvocation {
  /** Positional arguments; absent optional ones are left out. */
  positional: string[];
  options: Record<string, string | undefined>;
  print: (line: string) => void;
  printError: (line: string) => void;
}

/** Defines a command. */
export function defineCommand(
  definition: CommandDefinition,
): CommandDefinition {
  return definition;
}

/** The option that names the settings file. */
export const settingsOption: OptionDefinition = {
  flags: "--settings",
  description: "The settings file of this host",
};

/** The value of an option that must be given; throws UsageError. */
export function requiredOption(call: CommandInvocation, name: string): string {
  const value = call.options[name];
  if (typeof value === "string" && value !== "") return value;
  throw new UsageError(`Give the option --${name}`);
}

/** Thrown for a call that the command does not understand. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = "UsageError";
  }
}
