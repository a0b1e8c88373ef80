/**
 * Writes the code cache of a bundle: `create_code_cache.ts BUNDLE CACHE`. It
 * runs a gateway host from the bundle first, in this process and with a small
 * deployment, so that the cache also holds the functions that V8 compiles when
 * they are first called.
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePort } from "../../stand_ins/child_process.ts";
import {
  ApiKey,
  GatewayFleet,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";
import { compileBundle } from "./compile_bundle.ts";

const [node = "", script = "", bundleFile = "", cacheFile = ""] = process.argv;
const REQUEST_ROUNDS = 3;
const START_TIMEOUT_MS = 5_000;

const source = readFileSync(bundleFile);
const bundle = compileBundle(source);
const folder = mkdtempSync(join(tmpdir(), "sesamequay-"));
const fleet = new GatewayFleet({ gateways: 0 });
await fleet.start();
const callers = `127.0.0.1:${await findFreePort()}`;
const readiness = `127.0.0.1:${await findFreePort()}`;
const peers = `127.0.0.1:${await findFreePort()}`;
startGateway();
await waitUntilReady();
for (let round = 0; round < REQUEST_ROUNDS; round++) await sendRequests(round);
process.emit("SIGINT");
fleet.stop();
rmSync(folder, { recursive: true });
writeFileSync(cacheFile, bundle.script.createCachedData());
const { script: cached } = compileBundle(source, readFileSync(cacheFile));
if (cached.cachedDataRejected !== false) {
  throw new Error("V8 rejects the code cache of its own bundle");
}
process.exit();

function startGateway(): void {
  const settingsFile = join(folder, "gateway.yaml");
  writeFileSync(
    settingsFile,
    JSON.stringify({
      host: { name: "gateway-1", availability_zone: "az-1" },
      listen: { callers, readiness, peers },
      object_store: { address: fleet.store.address },
      log: { level: "error" },
    }),
  );
  process.argv = [node, script, "gateway", "--settings", settingsFile];
  bundle.run(createRequire(import.meta.url));
}

async function waitUntilReady(): Promise<void> {
  const end_ms = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < end_ms) {
    const response = await sendJsonRequest(readiness, "/v1/ready", {})
      .catch(() => undefined);
    if (response?.status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  throw new Error("The gateway host does not become ready");
}

async function sendRequests(round: number): Promise<void> {
  for (const path of ["/stamp/x", "/lookup/x", "/review/x", "/draft/x"]) {
    const { status } = await sendJsonRequest(callers, path, {
      method: "POST",
      text: "x",
      headers: {
        host: "fleet.example",
        "x-attempt-id": `${path}/${round}`,
        "x-key": ApiKey.Docks,
        "x-deadline-ms": "2000",
        "x-pieces": "3,8",
        "x-piece-key": "k",
        "x-prompt-prefix": "a:100,b:200,c:300",
      },
    });
    if (status !== 200) throw new Error(`${path} is answered with ${status}`);
  }
}
