/** A caller of streams that may be resumed, for tests. */
import { request } from "node:http";
import { ApiKey } from "./gateway_fleet.ts";

/** A stream as its caller has seen it. */
export interface SeenStream {
  /** 0 without a response. */
  status: number;
  /** Ids of the whole events, in order. */
  event_ids: number[];
  /** Software versions that the events name, in order, without repetitions. */
  versions: string[];
  /** Whether the response ended as a whole one does. */
  complete: boolean;
  retry_after: string | undefined;
  /** Why a host refused it; undefined if none did. */
  reason: string | undefined;
}

/** One attempt of a caller. */
export interface StreamAttempt {
  attempt_id: string;
  path?: string;
  /** Id of the attempt that brought the stream's first event. */
  resumes?: string | undefined;
  last_event_id?: number | undefined;
  deadline_ms?: number | undefined;
  /** Events after which the caller leaves. */
  leaves_after?: number;
  /** Called with the number of events whenever some have come. */
  onEvents?: (events: number) => void;
}

const DEFAULT_DEADLINE_MS = 1_400;
const EVENT = /^id: (\d+)\ndata: \d+ ?(\S*)\n\n/gm;

/** Sends an attempt to a host; resolves when it has ended in any way. */
export function callStream(
  address: string,
  attempt: StreamAttempt,
): Promise<SeenStream> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    let status = 0;
    let text = "";
    let complete = false;
    let retry_after: string | undefined;
    const end = () =>
      resolve({ status, complete, retry_after, ...readEvents(text) });
    const outgoing = request({
      host,
      port,
      path: attempt.path ?? "/draft/x",
      method: "POST",
      agent: false,
      headers: headersOf(attempt),
    });
    outgoing.on("error", end);
    outgoing.on("response", (incoming) => {
      status = incoming.statusCode ?? 0;
      retry_after = incoming.headers["retry-after"];
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk: string) => {
        text += chunk;
        const events = text.match(/\n\n/g)?.length ?? 0;
        attempt.onEvents?.(events);
        if (events >= (attempt.leaves_after ?? Infinity)) outgoing.destroy();
      });
      incoming.on("error", () => {});
      incoming.on("close", () => {
        complete = incoming.complete;
        end();
      });
    });
    outgoing.end("x");
  });
}

function headersOf(
  { attempt_id, resumes, last_event_id, deadline_ms = DEFAULT_DEADLINE_MS }:
    StreamAttempt,
): Record<string, string> {
  return {
    host: "fleet.example",
    "x-attempt-id": attempt_id,
    "x-key": ApiKey.Docks,
    "x-deadline-ms": String(deadline_ms),
    ...(resumes === undefined ? {} : { resumes }),
    ...(last_event_id === undefined
      ? {}
      : { "last-event-id": String(last_event_id) }),
  };
}

function readEvents(
  text: string,
): Pick<SeenStream, "event_ids" | "versions" | "reason"> {
  const events = [...text.matchAll(EVENT)];
  const named = events.map(([, , version = ""]) => version);
  return {
    event_ids: events.map(([, id]) => Number(id)),
    versions: [...new Set(named.filter((version) => version !== ""))],
    reason: /"title":"(\w+)"/.exec(text)?.[1],
  };
}
