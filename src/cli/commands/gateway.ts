/** `gateway` runs a gateway host; `check-gateway` checks its settings. */
import type { GatewayAdapter } from "../../forwarding/adapter.ts";
import { formatFindings } from "../../findings/finding.ts";
import { createGatewayHost, type GatewayHost } from "../../gateway_wiring.ts";
import { logUnhandledErrors } from "../../lifecycle/fault_handlers.ts";
import { createStdoutWriter } from "../../logging/logger.ts";
import { loadGatewaySettings } from "../../settings/gateway_settings.ts";
import {
  type CommandDefinition,
  defineCommand,
  requiredOption,
  settingsOption,
} from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";

/** Checks the settings of a gateway host and prints every finding. */
export const checkGatewayCommand = defineCommand({
  usage: "check-gateway",
  description: "Check the settings of a gateway host",
  options: [settingsOption],
  example: "check-gateway --settings gateway-1.yaml",
  run(invocation) {
    const file = requiredOption(invocation, "settings");
    const checked = loadGatewaySettings(file);
    if (!checked.ok) {
      invocation.printError(formatFindings(checked.findings));
      return ExitCode.Failure;
    }
    invocation.print(`${file} is fine`);
    return ExitCode.Success;
  },
});

/** Creates the `gateway` command for a deployment's adapter. */
export function createGatewayCommand(
  adapter: GatewayAdapter,
): CommandDefinition {
  return defineCommand({
    usage: "gateway",
    description: "Run a gateway host until SIGTERM or SIGINT",
    options: [settingsOption],
    example: "gateway --settings gateway-1.yaml",
    async run(invocation) {
      const file = requiredOption(invocation, "settings");
      const checked = loadGatewaySettings(file);
      if (!checked.ok) {
        invocation.printError(formatFindings(checked.findings));
        return ExitCode.Failure;
      }
      const writer = createStdoutWriter();
      const gateway = createGatewayHost(checked.value, {
        adapter,
        now: () => performance.now(),
        random: Math.random,
        writeLine: writer.writeLine,
      });
      logUnhandledErrors(process, gateway.log);
      handleSignals(gateway, file);
      try {
        await gateway.start();
      } catch (error) {
        invocation.printError(`Cannot listen: ${(error as Error).message}`);
        gateway.stop();
        return ExitCode.Failure;
      }
      await gateway.stopped;
      writer.flush();
      exitSoon();
      return ExitCode.Success;
    },
  });
}

/** Time for connections and timers that are still open to end by themselves. */
const EXIT_DELAY_MS = 200;

/** Ends the process, also while calls to a silent store or peer are pending. */
function exitSoon(): void {
  setTimeout(() => process.exit(), EXIT_DELAY_MS).unref();
}

function handleSignals(gateway: GatewayHost, file: string): void {
  process.on("SIGTERM", () => gateway.drain());
  process.on("SIGINT", () => gateway.stop());
  process.on("SIGHUP", () => gateway.reload(loadGatewaySettings(file)));
}
