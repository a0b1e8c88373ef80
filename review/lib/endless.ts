/** An engine in trouble: an answer's body without end, in small chunks. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { now, record, type RunRequest } from "./deployment.ts";

const CHUNK_BYTES = 5;
const CHUNK = `${CHUNK_BYTES}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`;
const CHUNKS_PER_WRITE = 10_000;

/** Writes bytes that are no answer, without end, until the caller closes. */
export function answerWithoutEnd(
  bytes_per_s: number,
  extraHeaders: Record<string, string> = {},
): RunRequest {
  return (
    _request: IncomingMessage,
    { socket }: ServerResponse,
    headers: Record<string, string>,
  ) => {
    if (socket === null) return;
    const lines = Object.entries({
      ...headers,
      ...extraHeaders,
      "transfer-encoding": "chunked",
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`);
    const started_ms = now();
    let sent = 0;
    const timer = setInterval(() => {
      const due = (now() - started_ms) * bytes_per_s / 1_000 - sent;
      const chunks = Math.min(
        CHUNKS_PER_WRITE,
        Math.floor(due / CHUNK.length),
      );
      if (socket.writableNeedDrain || chunks < 1) return;
      sent += chunks * CHUNK.length;
      socket.write(CHUNK.repeat(chunks));
    }, 2);
    socket.on("close", () => {
      clearInterval(timer);
      record(`engine in trouble: the caller has closed after ${sent} bytes`);
    });
  };
}
