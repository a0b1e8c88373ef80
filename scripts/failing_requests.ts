/**
 * Makes three requests fail against simulated engines and prints the log lines
 * that carry their attempt ids; docs/OPERATIONS.md explains the lines.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { callJson } from "../stand_ins/json_call.ts";
import { EngineFault } from "../stand_ins/users_platform/engine.ts";
import {
  FleetKey,
  GatewayFleet,
  Service,
} from "../stand_ins/users_platform/gateway_fleet.ts";

/** Delay before the log is read, so that every line has been written. */
const LOG_DELAY_MS = 100;

const fleet = new GatewayFleet({ gateways: 2 });
await fleet.start();

async function send(attemptId: string, path: string, pieces: string) {
  return await callJson(fleet.gateways[0]?.callers ?? "", path, {
    method: "POST",
    text: "body",
    headers: {
      host: "fleet.example",
      "x-attempt-id": attemptId,
      "x-key": FleetKey.Docks,
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

async function sendAndPrintLog(
  attemptId: string,
  path: string,
  pieces = "2,3",
) {
  console.log(
    `\n# ${attemptId}: the caller got`,
    await send(attemptId, path, pieces),
  );
  await sleep(LOG_DELAY_MS);
  for (const { lines } of fleet.gateways) {
    for (const line of lines) {
      if (line.includes(`attempt=${attemptId}`)) console.log(line);
    }
  }
}

function setFault(service: Service, fault: EngineFault): void {
  for (const engine of fleet.engines.get(service) ?? []) engine.fault = fault;
}

setFault(Service.Desk, EngineFault.AnswerLost);
await sendAndPrintLog("stamp-unknown", "/stamp/41");
setFault(Service.Model, EngineFault.Cut);
await sendAndPrintLog("stream-cut", "/review/log");
setFault(Service.Model, EngineFault.None);
setFault(Service.Encode, EngineFault.Full);
await sendAndPrintLog("burst-refused", "/review/log", "4000,3");
fleet.stop();
process.exit();
