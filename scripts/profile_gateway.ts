/**
 * Sends a fixed load through two gateways in this process, to be run under the
 * CPU profiler: `npx node --cpu-prof --import tsx scripts/profile_gateway.ts`.
 */
import { sendJsonRequest } from "../stand_ins/json_client.ts";
import { ApiKey, GatewayFleet } from "../stand_ins/deployment/gateway_fleet.ts";

const REQUESTS = 2_000;
const SEND_INTERVAL_MS = 5;

const fleet = new GatewayFleet({ gateways: 2 });
await fleet.start();
const cpuUsageAtStart = process.cpuUsage();
const calls: Promise<unknown>[] = [];
for (let index = 0; index < REQUESTS; index++) {
  const gateway = fleet.gateways[index % 2];
  const multiStage = index % 3 !== 0;
  calls.push(
    sendJsonRequest(
      gateway?.callers ?? "",
      multiStage ? "/review/x" : "/stamp/x",
      {
        method: "POST",
        text: "x".repeat(2_000),
        headers: {
          host: "fleet.example",
          "x-attempt-id": `a${index}`,
          "x-key": ApiKey.Docks,
          "x-deadline-ms": "2000",
          "x-pieces": "3,8",
          "x-piece-key": "k",
          "x-prompt-prefix": `a:100,b${index % 40}:200,c${index}:300`,
        },
      },
    ).then(({ status }) => status),
  );
  await new Promise((resolve) => setTimeout(resolve, SEND_INTERVAL_MS));
}
const responsesByStatus = Map.groupBy(
  await Promise.all(calls),
  (status) => status,
);
const cpuUsage = process.cpuUsage(cpuUsageAtStart);
for (const [status, responses] of responsesByStatus) {
  console.log(status, responses.length);
}
console.log(
  `${
    ((cpuUsage.user + cpuUsage.system) / REQUESTS / 1_000).toFixed(2)
  } ms a request, ` +
    "callers, engines and two gateways together",
);
fleet.stop();
process.exit();
