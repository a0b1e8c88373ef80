/** Builds the command line from the command definitions, using sade. */
import sade from "sade";
import type { ConfigurationFormat } from "../config_check/types.ts";
import type { GatewayAdapter } from "../forwarding/adapter.ts";
import { VERSION } from "../version.ts";
import { checkCommand } from "./commands/check.ts";
import { checkRecordsCommand } from "./commands/check_records.ts";
import { createConfigCheckCommand } from "./commands/config_check.ts";
import { drainCommand } from "./commands/drain.ts";
import { entryCommand } from "./commands/entry.ts";
import { createEvacuateCommand } from "./commands/evacuate.ts";
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

const PROGRAM_NAME = "sesamequay";
const FIRST_ARGUMENT_INDEX = 2;

/** What the commands need of the deployment. */
export interface CommandLineDeployment {
  adapter: GatewayAdapter;
  configurationFormat: ConfigurationFormat;
}

/** Parses the arguments, runs one command and sets the exit code. */
export async function runCommandLine(
  argv: string[],
  { adapter, configurationFormat }: CommandLineDeployment,
): Promise<void> {
  const program = sade(PROGRAM_NAME).version(VERSION);
  const commands = [
    ...COMMANDS,
    createGatewayCommand(adapter),
    createEvacuateCommand(adapter),
    createConfigCheckCommand(configurationFormat),
  ];
  for (const command of commands) registerCommand(program, command);
  if (argv.length <= FIRST_ARGUMENT_INDEX) {
    program.help();
    process.exitCode = ExitCode.InvalidUsage;
    return;
  }
  const parsed = parseArguments(program, argv);
  if (parsed === undefined) return;
  await parsed.handler.apply(undefined, parsed.args);
}

type Program = ReturnType<typeof sade>;

/** The result of sade's lazy parsing. */
interface ParsedCommand {
  handler: (...values: unknown[]) => unknown;
  args: unknown[];
}

/** Parses the arguments; exits with 2 on invalid usage, where sade uses 1. */
function parseArguments(
  program: Program,
  argv: string[],
): ParsedCommand | undefined {
  const exit = process.exit;
  process.exit = (() => exit(ExitCode.InvalidUsage)) as typeof process.exit;
  try {
    return program.parse(argv, {
      lazy: true,
      unknown: (flag) => `Unknown option ${flag}`,
    }) as unknown as ParsedCommand | undefined;
  } finally {
    process.exit = exit;
  }
}

function registerCommand(program: Program, command: CommandDefinition): void {
  const added = program
    .command(command.usage, command.description)
    .example(command.example);
  for (const option of command.options) {
    added.option(option.flags, option.description, option.default);
  }
  added.action((...values: unknown[]) => runCommand(command, values));
}

async function runCommand(
  command: CommandDefinition,
  values: unknown[],
): Promise<void> {
  const options = values.pop() as
    & Record<string, string | boolean | undefined>
    & {
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
      `${error.message}; see ${PROGRAM_NAME} ${
        command.usage.split(/ [<[]/)[0]
      } --help\n`,
    );
    process.exitCode = ExitCode.InvalidUsage;
  }
}
