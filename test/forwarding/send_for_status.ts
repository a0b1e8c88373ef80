/** Sends requests of which only the status counts. */
import { ApiKey } from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";

/** What is sent. */
export interface SentForStatus {
  path: string;
  attempt_id: string;
  deadline_ms: number;
}

/** Sends a request; resolves to its status, or to "cut" without a whole response. */
export function sendForStatus(
  callers: string,
  { path, attempt_id, deadline_ms }: SentForStatus,
): Promise<number | "cut"> {
  return sendJsonRequest(callers, path, {
    method: "POST",
    text: "x",
    headers: {
      host: "fleet.example",
      "x-attempt-id": attempt_id,
      "x-key": ApiKey.Docks,
      "x-deadline-ms": String(deadline_ms),
    },
  }).then((response) => response.status, () => "cut" as const);
}
