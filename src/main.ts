/** Entry point of the program. */
import { deploymentAdapter } from "../platform/adapter.ts";
import { configurationFormat } from "../platform/configuration_format.ts";
import { runCommandLine } from "./cli/command_line.ts";

void runCommandLine(process.argv, {
  adapter: deploymentAdapter,
  configurationFormat,
});
