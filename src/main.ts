/** Entry point of the one program. */
import { runCommandLine } from "./cli/command_line.ts";

void runCommandLine(process.argv);
