/** Child processes for tests, demos and measurements. */
import { type ChildProcess, spawn } from "node:child_process";
import { openSync, readFileSync } from "node:fs";
import { createServer } from "node:net";

/** A running child process. */
export interface StartedProcess {
  name: string;
  pid: number;
  /** Standard output and error so far, including the log file's content. */
  output: () => string;
  signal: (signal: NodeJS.Signals) => void;
  /** Resolves with the exit code, or `undefined` if ended by a signal. */
  exited: Promise<number | undefined>;
}

/** A process to start. */
export interface ProcessDefinition {
  name: string;
  /**
   * A TypeScript source, JavaScript bundle or executable, and its arguments.
   */
  args: string[];
  environment?: Record<string, string>;
  /** Whether the process is ready; by default once it has printed `ready`. */
  isReady?: (output: string) => Promise<boolean> | boolean;
  /** File for standard output, which is captured in memory by default. */
  logFile?: string;
}

const READY_TIMEOUT_MS = 15_000;

/**
 * Starts a process and waits until it is ready. If it exits first or is not
 * ready in time, kills it and rejects with its output.
 */
export async function startProcess(
  definition: ProcessDefinition,
): Promise<StartedProcess> {
  const [command, ...args] = buildCommand(definition.args);
  const child = spawn(command, args, {
    env: { ...process.env, ...definition.environment },
    stdio: ["ignore", openStandardOutput(definition.logFile), "pipe"],
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

/**
 * Ports below the system's ephemeral range; each process gets its own range.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 100;
const PORT_RANGES = 220;
let nextPort = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;

/** Finds a TCP port on the loopback address that is not in use. */
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

function buildCommand(args: string[]): [string, ...string[]] {
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
  const append = (chunk: Buffer) => void (text += chunk.toString());
  child.stdout?.on("data", append);
  child.stderr?.on("data", append);
  if (logFile === undefined) return () => text;
  return () => text + readFileSync(logFile, "utf8");
}

/**
 * The child writes to the log file itself, so nothing is copied by this
 * process.
 */
function openStandardOutput(logFile: string | undefined): "pipe" | number {
  return logFile === undefined ? "pipe" : openSync(logFile, "w");
}

function hasReadyMessage(output: string): boolean {
  return output.includes("ready");
}

async function waitUntilReady(
  child: ChildProcess,
  { name, isReady = hasReadyMessage }: ProcessDefinition,
  output: () => string,
): Promise<void> {
  const end_ms = performance.now() + READY_TIMEOUT_MS;
  while (!await isReady(output())) {
    if (child.exitCode !== null || performance.now() > end_ms) {
      child.kill("SIGKILL");
      throw new Error(`${name} did not become ready:\n${output()}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
