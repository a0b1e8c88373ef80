/**
 * Stage jobs between gateway hosts, as JSON over plain HTTP. They are the many
 * messages of every request; tRPC carries the others.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type { Logger } from "../logging/logger.ts";

/** Where a host takes jobs, and results that are given up. */
export const JOB_PATH = "/jobs";
export const FREED_PATH = "/freed";

/** What a host does with jobs of others. */
export interface JobHandlers {
  run: (job: StageJob, signal: AbortSignal) => Promise<JobOutcome>;
  free: (freed: FreedResults[]) => void;
  log: Logger;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
/** Largest message that is read; handles of many pieces fit many times. */
const MESSAGE_LIMIT_BYTES = 4_194_304;

const freedSchema = z.array(z.object({
  pool: z.string(),
  shard: z.string().optional(),
  address: z.string(),
  handles: z.array(z.string()),
  spare: z.boolean().optional(),
}));

const jobSchema = z.object({
  attempt_id: z.string(),
  pool: z.string(),
  shard: z.string().optional(),
  stage: z.number(),
  pieces: z.array(z.object({
    index: z.number(),
    key: z.string().optional(),
    inputs: z.array(z.string()).optional(),
  })),
  result_bytes: z.number(),
  priority: z.number(),
  due_in_ms: z.number(),
  expires_in_ms: z.number(),
  home_zone: z.string().optional(),
  input_bytes: z.number(),
  last_read: freedSchema,
});

/** Whether a request is one of these messages. */
export function isJobMessage(request: IncomingMessage): boolean {
  return request.url === JOB_PATH || request.url === FREED_PATH;
}

/** Serves one message. */
export async function serveJobMessage(
  request: IncomingMessage,
  response: ServerResponse,
  handlers: JobHandlers,
): Promise<void> {
  const content = await readJson(request);
  if (request.url === FREED_PATH) {
    const freed = freedSchema.safeParse(content);
    if (!freed.success) return reject(request, response, handlers.log);
    handlers.free(freed.data);
    return answer(response, HTTP_OK, {});
  }
  const job = jobSchema.safeParse(content);
  if (!job.success) return reject(request, response, handlers.log);
  const left = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) left.abort(CALLER_LEFT);
  });
  const outcome = await handlers.run(job.data as StageJob, left.signal);
  answer(response, HTTP_OK, outcome);
}

const CALLER_LEFT = "caller_left";

function reject(
  request: IncomingMessage,
  response: ServerResponse,
  log: Logger,
): void {
  log.warn({ event: "peer_message_rejected", path: request.url });
  answer(response, HTTP_BAD_REQUEST, { error: "malformed" });
}

function answer(
  response: ServerResponse,
  status: number,
  content: unknown,
): void {
  if (response.destroyed) return;
  const text = JSON.stringify(content);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** The JSON of a message; undefined if it is too large or malformed. */
function readJson(request: IncomingMessage): Promise<unknown> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > MESSAGE_LIMIT_BYTES) resolve(undefined);
      else chunks.push(chunk);
    });
    request.on("error", () => resolve(undefined));
    request.on("end", () => resolve(parseJson(Buffer.concat(chunks))));
  });
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
