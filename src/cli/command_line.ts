/** Builds the command line from the commands' definitions, with sade. */
import sade from "sade";
import type { GatewayAdapter } from "../forwarding/adapter.ts";
import { VERSION } from "../version.ts";
import { checkCommand } from "./commands/check.ts";
import { checkRecordsCommand } from "./commands/check_records.ts";
import { drainCommand } from "./commands/drain.ts";
import { entryCommand } from "./commands/entry.ts";
import {
  checkGatewayCommand,
  createGatewayCommand,
} from "./commands/gateway.ts";
import { deleteCommand, getCommand, putCommand } from "./commands/records.ts";
import { reportCommand } from "./commands/report.ts";
import { statusCommand } from "./commands/status.ts";
import { type CommandDefinition, UsageError } from "./define_command.ts";
import { ExitCode } from "./exit_code.ts";

const COMMANDS: CommandDefinition[] = [
  entryCommand,
  checkCommand,
  checkGatewayCommand,
  checkRecordsCommand,
  getCommand,
  putCommand,
  deleteCommand,
  statusCommand,
  drainCommand,
  reportCommand,
];

const PROGRAM = "sesamequay";
const FIRST_ARGUMENT = 2;

/** Parses the arguments and runs one command. */
export async function runCommandLine(
  argv: string[],
  adapter: GatewayAdapter,
): Promise<void> {
  const program = sade(PROGRAM).version(VERSION);
  const commands = [...COMMANDS, createGatewayCommand(adapter)];
  for (const command of commands) addCommand(program, command);
  if (argv.length <= FIRST_ARGUMENT) {
    program.help();
    process.exitCode = ExitCode.InvalidUsage;
    return;
  }
  const parsed = parseArguments(program, argv);
  if (parsed === undefined) return;
  await parsed.handler.apply(undefined, parsed.args);
}

type Program = ReturnType<typeof sade>;

/** What sade's lazy parse returns. */
interface LazyCall {
  handler: (...values: unknown[]) => unknown;
  args: unknown[];
}

/** Sade exits with 1 on wrong usage; here wrong usage is 2. */
function parseArguments(
  program: Program,
  argv: string[],
): LazyCall | undefined {
  const exit = process.exit;
  process.exit = (() => exit(ExitCode.InvalidUsage)) as typeof process.exit;
  try {
    return program.parse(argv, {
      lazy: true,
      unknown: (flag) => `Unknown option ${flag}`,
    }) as unknown as LazyCall | undefined;
  } finally {
    process.exit = exit;
  }
}

function addCommand(program: Program, command: CommandDefinition): void {
  const added = program
    .command(command.usage, command.description)
    .example(command.example);
  for (const option of command.options) {
    added.option(option.flags, option.description, option.default);
  }
  added.action((...values: unknown[]) => run(command, values));
}

async function run(
  command: CommandDefinition,
  values: unknown[],
): Promise<void> {
  const options = values.pop() as Record<string, string | undefined> & {
    _: string[];
  };
  const positional = [...values, ...options._]
    .filter((value) => typeof value === "string");
  try {
    process.exitCode = await command.run({
      positional,
      options,
      print: (line) => process.stdout.write(line + "\n"),
      printError: (line) => process.stderr.write(line + "\n"),
    });
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    process.stderr.write(
      `${error.message}; see ${PROGRAM} ${
        command.usage.split(" ")[0]
      } --help\n`,
    );
    process.exitCode = ExitCode.InvalidUsage;
  }
}
