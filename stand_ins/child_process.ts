/** Starts and ends the processes of tests, demos and measurements. */
import { type ChildProcess, spawn } from "node:child_process";
import { openSync, readFileSync } from "node:fs";
import { createServer } from "node:net";

/** A started process. */
export interface StartedProcess {
  name: string;
  pid: number;
  /** Standard output so far, unless it goes to a file. */
  output: () => string;
  signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or undefined after a signal. */
  exited: Promise<number | undefined>;
}

/** What to start. */
export interface ProcessDefinition {
  name: string;
  /** A source file, bundle or executable, and its arguments. */
  args: string[];
  environment?: Record<string, string>;
  /** Whether the process is ready; by default, once it has said so. */
  isReady?: (output: string) => Promise<boolean> | boolean;
  /** Standard output goes here when given. */
  logFile?: string;
}

const READY_LIMIT_MS = 15_000;

/** Starts a process and waits until it says that it is ready. */
export async function startProcess(
  definition: ProcessDefinition,
): Promise<StartedProcess> {
  const [command, ...args] = commandOf(definition.args);
  const child = spawn(command, args, {
    env: { ...process.env, ...definition.environment },
    stdio: ["ignore", standardOutput(definition.logFile), "pipe"],
  });
  const output = collectOutput(child, definition.logFile);
  const exited = new Promise<number | undefined>((resolve) =>
    child.once("exit", (code) => resolve(code ?? undefined))
  );
  await waitUntilReady(child, definition, output);
  return {
    name: definition.name,
    pid: child.pid ?? 0,
    output,
    signal: (signal) => void child.kill(signal),
    exited,
  };
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 100;
const PORT_RANGES = 220;
let nextPort = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;

/** A TCP port on the loopback address that nobody listens on. */
export async function findFreePort(): Promise<number> {
  const port = nextPort++;
  return await isFree(port) ? port : await findFreePort();
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** The command for a source file, a bundle or an executable. */
function commandOf(args: string[]): [string, ...string[]] {
  const [program = "", ...rest] = args;
  if (program.endsWith(".ts")) {
    return [process.execPath, "--import", "tsx", program, ...rest];
  }
  if (program.endsWith("js")) return [process.execPath, program, ...rest];
  return [program, ...rest];
}

function collectOutput(
  child: ChildProcess,
  logFile: string | undefined,
): () => string {
  let text = "";
  const take = (chunk: Buffer) => void (text += chunk.toString());
  child.stdout?.on("data", take);
  child.stderr?.on("data", take);
  if (logFile === undefined) return () => text;
  return () => text + readFileSync(logFile, "utf8");
}

/** The log file itself, so that this process does not copy what is written. */
function standardOutput(logFile: string | undefined): "pipe" | number {
  return logFile === undefined ? "pipe" : openSync(logFile, "w");
}

function saysReady(output: string): boolean {
  return output.includes("ready");
}

async function waitUntilReady(
  child: ChildProcess,
  { name, isReady = saysReady }: ProcessDefinition,
  output: () => string,
): Promise<void> {
  const end_ms = performance.now() + READY_LIMIT_MS;
  while (!await isReady(output())) {
    if (child.exitCode !== null || performance.now() > end_ms) {
      child.kill("SIGKILL");
      throw new Error(`${name} did not become ready:\n${output()}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
