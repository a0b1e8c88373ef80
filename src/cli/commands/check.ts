/** `check`: checks the settings file of an entry host. */
import { defineCommand, settingsOption } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { loadCommandSettings } from "./load_command_settings.ts";

/** Checks the settings of an entry host and prints every finding. */
export const checkCommand = defineCommand({
  usage: "check",
  description: "Check a settings file and print every finding",
  options: [settingsOption],
  example: "check --settings entry-1.yaml",
  run(invocation) {
    const settings = loadCommandSettings(invocation);
    if (settings === undefined) return ExitCode.Failure;
    invocation.print(`The settings of host ${settings.host.name} are fine`);
    return ExitCode.Success;
  },
});
