/**
 * Provokes three failed requests against stand-ins and prints the log lines
 * that carry their ids; docs/OPERATIONS.md explains them.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sendJsonRequest } from "../stand_ins/json_client.ts";
import { EngineFault } from "../stand_ins/deployment/engine.ts";
import {
  ApiKey,
  GatewayFleet,
  Service,
} from "../stand_ins/deployment/gateway_fleet.ts";

const LOG_SETTLES_MS = 100;

const fleet = new GatewayFleet({ gateways: 2 });
await fleet.start();

async function send(attempt: string, path: string, pieces: string) {
  return await sendJsonRequest(fleet.gateways[0]?.callers ?? "", path, {
    method: "POST",
    text: "body",
    headers: {
      host: "fleet.example",
      "x-attempt-id": attempt,
      "x-key": ApiKey.Docks,
      "x-deadline-ms": "900",
      "x-pieces": pieces,
      "x-piece-key": "cafe",
      "x-prompt-prefix": "aa:100,bb:50,cc:10",
    },
  }).then(
    ({ status, headers }) =>
      `${status} retry-after=${headers["retry-after"] ?? "none"}`,
    (error: Error) => `broken off: ${error.message}`,
  );
}

async function show(attempt: string, path: string, pieces = "2,3") {
  console.log(
    `\n# ${attempt}: the caller got`,
    await send(attempt, path, pieces),
  );
  await sleep(LOG_SETTLES_MS);
  for (const { logLines } of fleet.gateways) {
    for (const line of logLines) {
      if (line.includes(`attempt=${attempt}`)) console.log(line);
    }
  }
}

function fail(service: Service, fault: EngineFault): void {
  for (const engine of fleet.engines.get(service) ?? []) engine.fault = fault;
}

fail(Service.Desk, EngineFault.ResponseLost);
await show("stamp-unknown", "/stamp/41");
fail(Service.Model, EngineFault.StreamTruncated);
await show("stream-cut", "/review/log");
fail(Service.Model, EngineFault.None);
fail(Service.Encode, EngineFault.Full);
await show("burst-refused", "/review/log", "4000,3");
fleet.stop();
process.exit();
