/** `entry`: runs an entry host. */
import { logUnhandledErrors } from "../../lifecycle/fault_handlers.ts";
import { createStdoutWriter } from "../../logging/logger.ts";
import type { EntryHost } from "../../entry_wiring.ts";
import { defineCommand, settingsOption } from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";
import { loadCommandSettings } from "./load_command_settings.ts";

/** Runs an entry host until it is drained or receives a signal. */
export const entryCommand = defineCommand({
  usage: "entry",
  description: "Run an entry host until SIGTERM, SIGINT or drain",
  options: [settingsOption],
  example: "entry --settings entry-1.yaml",
  async run(invocation) {
    const settings = loadCommandSettings(invocation);
    if (settings === undefined) return ExitCode.Failure;
    const writer = createStdoutWriter();
    const { createEntryHost } = await import("../../entry_wiring.ts");
    const entry = createEntryHost(settings, {
      now: Date.now,
      random: Math.random,
      writeLine: writer.writeLine,
    });
    handleSignals(entry);
    logUnhandledErrors(process, entry.log);
    try {
      await entry.start();
    } catch (error) {
      invocation.printError(`Cannot listen: ${(error as Error).message}`);
      entry.stop();
      return ExitCode.Failure;
    }
    await entry.stopped;
    writer.flush();
    return ExitCode.Success;
  },
});

/** Drains the host on the first signal and stops it on the second. */
function handleSignals(entry: EntryHost): void {
  let signals = 0;
  const onSignal = () => {
    signals += 1;
    if (signals === 1) entry.drain();
    else entry.stop();
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}
