/**
 * Sends a fixed load through one gateway in this process, for the profiler:
 * `node --cpu-prof --import tsx scripts/profile_gateway.ts`.
 */
import { sendJsonRequest } from "../stand_ins/json_client.ts";
import { ApiKey, GatewayFleet } from "../stand_ins/deployment/gateway_fleet.ts";

const REQUESTS = 2_000;
const EVERY_MS = 5;

const fleet = new GatewayFleet({ gateways: 2 });
await fleet.start();
const began = process.cpuUsage();
const calls: Promise<unknown>[] = [];
for (let n = 0; n < REQUESTS; n++) {
  const gateway = fleet.gateways[n % 2];
  const staged = n % 3 !== 0;
  calls.push(
    sendJsonRequest(gateway?.callers ?? "", staged ? "/review/x" : "/stamp/x", {
      method: "POST",
      text: "x".repeat(2_000),
      headers: {
        host: "fleet.example",
        "x-attempt-id": `a${n}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "2000",
        "x-pieces": "3,8",
        "x-piece-key": "k",
        "x-prompt-prefix": `a:100,b${n % 40}:200,c${n}:300`,
      },
    }).then(({ status }) => status),
  );
  await new Promise((resolve) => setTimeout(resolve, EVERY_MS));
}
const statuses = Map.groupBy(await Promise.all(calls), (status) => status);
const used = process.cpuUsage(began);
for (const [status, all] of statuses) console.log(status, all.length);
console.log(
  `${
    ((used.user + used.system) / REQUESTS / 1_000).toFixed(2)
  } ms a request, ` +
    "callers, engines and two gateways together",
);
fleet.stop();
process.exit();
