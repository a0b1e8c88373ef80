/** `status`: prints a host's status and the findings about the records. */
import { type Finding, formatFindings } from "../../findings/finding.ts";
import { defineCommand, settingsOption } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { hostOption, withHostClient } from "./host_option.ts";
import { withPlatformClient } from "./records.ts";

/** Prints a host's status and the findings about the records. */
export const statusCommand = defineCommand({
  usage: "status",
  description: "Print a host's status and the findings about the records",
  options: [settingsOption, hostOption],
  example: "status --settings entry-1.yaml --host 127.0.0.1:7102",
  async run(invocation) {
    const host = await withHostClient(invocation, async (client) => {
      invocation.print(
        JSON.stringify(await client.status.query(), undefined, 2),
      );
      return ExitCode.Success;
    });
    const { CONFIGURATION_FINDINGS_KEY } = await import(
      "../../configuration/publisher.ts"
    );
    const records = await withPlatformClient(invocation, async (platform) => {
      const found = await platform.get(CONFIGURATION_FINDINGS_KEY);
      if (!found.ok) {
        invocation.printError(`The platform: ${found.failure.message}`);
        return ExitCode.Failure;
      }
      const status = found.value?.value as { findings: Finding[] } | undefined;
      const findings = status?.findings ?? [];
      if (findings.length === 0) return ExitCode.Success;
      invocation.printError(formatFindings(findings));
      return ExitCode.Failure;
    });
    return Math.max(host, records);
  },
});
