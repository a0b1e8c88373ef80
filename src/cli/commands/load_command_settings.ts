/** Loads the settings that a command names, and prints findings. */
import { formatFindings } from "../../findings/finding.ts";
import { loadSettings } from "../../settings/resolve_settings.ts";
import type { Settings } from "../../settings/settings.ts";
import { type CommandInvocation, requiredOption } from "../define_command.ts";

/** The settings, or undefined after printing every finding. */
export function loadCommandSettings(
  call: CommandInvocation,
): Settings | undefined {
  const checked = loadSettings(requiredOption(call, "settings"));
  if (checked.ok) return checked.value;
  call.printError(formatFindings(checked.findings));
  return undefined;
}
