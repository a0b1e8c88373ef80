/** `report`: creates an HTML page with plots from measurements. */
import { readFileSync, writeFileSync } from "node:fs";
import { renderReport } from "../../reports/render_report.ts";
import { parseMeasurement } from "../../reports/measurement.ts";
import {
  defineCommand,
  requiredOption,
  UsageError,
} from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";

/** Writes an HTML page with the plots of all given measurements. */
export const reportCommand = defineCommand({
  usage: "report <file>",
  description: "Write an HTML page with plots from measured runs in JSON",
  options: [{ flags: "--output", description: "The page to write" }],
  example: "report measurements/steady.json --output report.html",
  run(invocation) {
    const output = requiredOption(invocation, "output");
    const measurements = invocation.positional.map((file) => {
      try {
        return parseMeasurement(readFileSync(file, "utf8"));
      } catch (error) {
        throw new UsageError(
          `Cannot read ${file}: ${(error as Error).message}`,
        );
      }
    });
    writeFileSync(output, renderReport(measurements));
    invocation.print(`${output} shows ${measurements.length} measurements`);
    return ExitCode.Success;
  },
});
