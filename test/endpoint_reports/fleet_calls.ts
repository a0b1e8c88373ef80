/** Requests of one organisation through a fleet's hosts. */
import {
  ApiKey,
  type GatewayFleet,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import {
  type JsonResponse,
  sendJsonRequest,
} from "../../stand_ins/json_client.ts";

/** How a request is sent. */
export interface CallOptions {
  /** Index of the host; 0 by default. */
  gateway?: number;
  /** Number of pieces of each stage; none by default. */
  pieces?: string;
  /** Time that the caller waits; 1,500 by default. */
  deadline_ms?: number;
}

/** A response and the time that it took. */
export type TimedResponse = JsonResponse & { elapsed_ms: number };

let attempts = 0;

/** Number of requests sent so far, and of the next attempt id. */
export function attemptCount(): number {
  return attempts;
}

/** Sends one request, with an attempt id of its own. */
export async function callFleet(
  fleet: GatewayFleet,
  path: string,
  { gateway = 0, pieces = "0,0", deadline_ms = 1_500 }: CallOptions = {},
): Promise<TimedResponse> {
  const number = attempts++;
  const started_ms = performance.now();
  const response = await sendJsonRequest(
    fleet.gateways[gateway]?.callers ?? "",
    path,
    {
      method: "POST",
      text: "body",
      headers: {
        host: "fleet.example",
        "x-attempt-id": `attempt-${number}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": `${deadline_ms}`,
        "x-pieces": pieces,
        "x-piece-key": `key${number}`,
        "x-prompt-prefix": `a${number % 5}:40,b${number}:10`,
      },
    },
  );
  return { ...response, elapsed_ms: performance.now() - started_ms };
}
