/** Loads the settings file that a command is given. */
import { formatFindings } from "../../findings/finding.ts";
import { loadSettings } from "../../settings/resolve_settings.ts";
import type { Settings } from "../../settings/settings.ts";
import { type CommandInvocation, requiredOption } from "../define_command.ts";

/** Returns the settings, or prints every finding and returns undefined. */
export function loadCommandSettings(
  invocation: CommandInvocation,
): Settings | undefined {
  const checked = loadSettings(requiredOption(invocation, "settings"));
  if (checked.ok) return checked.value;
  invocation.printError(formatFindings(checked.findings));
  return undefined;
}
