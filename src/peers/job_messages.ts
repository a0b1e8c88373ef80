/**
 * Handles stage jobs from other gateway hosts, as JSON over plain HTTP. Every
 * request needs several of these messages; all rarer calls use tRPC.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { BytesReadKind, readBytes } from "../bodies/read_bytes.ts";
import { z } from "zod";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type { Logger } from "../logging/logger.ts";
import { hasSenderLeft } from "../utils/sender_left.ts";

/** HTTP path for stage jobs. */
export const JOB_PATH = "/jobs";
/** HTTP path for results that are freed. */
export const FREED_PATH = "/freed";

/** Handlers of messages from other hosts. */
export interface JobHandlers {
  /** Runs a job; the signal aborts when the caller disconnects. */
  run: (job: StageJob, signal: AbortSignal) => Promise<JobOutcome>;
  /** Frees results that this host accounts for. */
  free: (freed: FreedResults[]) => void;
  log: Logger;
}

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
/** Large enough for the handles of a job with many pieces. */
const MAX_MESSAGE_BYTES = 4_194_304;

const freedSchema = z.array(z.object({
  pool: z.string(),
  shard: z.string().optional(),
  address: z.string(),
  handles: z.array(z.string()),
  spare: z.boolean().optional(),
}));

const jobSchema = z.object({
  attempt_id: z.string(),
  request: z.string().optional(),
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
  later: z.array(z.object({ pool: z.string(), pieces: z.number() }))
    .optional(),
  target_in_ms: z.number().optional(),
});

/** Whether a request is for a path of this module. */
export function isJobMessage(request: IncomingMessage): boolean {
  return request.url === JOB_PATH || request.url === FREED_PATH;
}

/** Handles one message and sends the response. */
export async function serveJobMessage(
  request: IncomingMessage,
  response: ServerResponse,
  handlers: JobHandlers,
): Promise<void> {
  const callerLeft = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) callerLeft.abort(CALLER_LEFT);
  });
  const content = await readJson(request);
  if (callerLeft.signal.aborted) return;
  if (request.url === FREED_PATH) {
    const freed = freedSchema.safeParse(content);
    if (!freed.success) return reject(request, response, handlers.log);
    handlers.free(freed.data);
    return sendJson(response, HTTP_OK, {});
  }
  const job = jobSchema.safeParse(content);
  if (!job.success) return reject(request, response, handlers.log);
  if (await hasSenderLeft(request)) return;
  const outcome = await handlers.run(job.data as StageJob, callerLeft.signal);
  sendJson(response, HTTP_OK, outcome);
}

const CALLER_LEFT = "caller_left";

function reject(
  request: IncomingMessage,
  response: ServerResponse,
  log: Logger,
): void {
  log.warn({ event: "peer_message_rejected", path: request.url });
  sendJson(response, HTTP_BAD_REQUEST, { error: "malformed" });
}

function sendJson(
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

/** Reads a JSON body; undefined if it is too large, malformed or broken off. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  const read = await readBytes(request, { max_bytes: MAX_MESSAGE_BYTES });
  return read.kind === BytesReadKind.Complete
    ? parseJson(read.bytes)
    : undefined;
}

function parseJson(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}
