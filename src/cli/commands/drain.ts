/** `drain`: takes a host out of service. */
import { defineCommand, settingsOption } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { hostOption, withHostClient } from "./host_option.ts";

/** Asks a host to finish its running requests and stop. */
export const drainCommand = defineCommand({
  usage: "drain",
  description: "Tell a host to finish its requests and stop",
  options: [settingsOption, hostOption],
  example: "drain --settings entry-1.yaml",
  run: (invocation) =>
    withHostClient(invocation, async (host) => {
      await host.drain.mutate();
      invocation.print("The host is draining");
      return ExitCode.Success;
    }),
});
