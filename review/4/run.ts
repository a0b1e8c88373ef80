/** One request crashes the engine that runs it, and comes again. */
import { join } from "node:path";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  attemptHeaders,
  BOUNDS,
  type Deployment,
  manifest,
  now,
  record,
  type ReviewEngine,
  route,
  runScript,
  send,
  service,
  sleep,
  TROUBLE,
} from "../lib/deployment.ts";

const ENGINES = 4;
const HOSTS = 2;
/** An engine is back some seconds after a crash. */
const BACK_AFTER_MS = 2_000;
/** Pause between two attempts of the request that crashes engines. */
const INTERVAL_MS = 3_500;
const OBSERVED_MS = 60_000;
const SOUND_INTERVAL_MS = 250;
const EVENTS = 10;
const EVENT_INTERVAL_MS = 100;
const DEADLINE_MS = 6_000;
const DEADLY_BODY = "the log that crashes engines";
const SHARED_PARTS = "5c1e07a2:6300,91bd3f06:2000";
/** Crashes after which the rule counts, and the retries that it allows. */
const CRASHES = 3;
const MAX_RETRIES = 3;

async function run(deployment: Deployment): Promise<boolean> {
  await deployment.startStore();
  const engines: ReviewEngine[] = [];
  const crashes_ms: number[] = [];
  const deadly = new Map<string, { engine: string; at_ms: number }>();
  const crash = async (engine: ReviewEngine) => {
    crashes_ms.push(now());
    record(`engine ${engine.id} crashes, for the ${crashes_ms.length}. time`);
    engine.crash();
    await sleep(BACK_AFTER_MS);
    await engine.startAgain();
    const entry = engine.entry("model-pool", "zone-a");
    deployment.store.put("servers", engine.id, { ...entry, born: Date.now() });
    record(`engine ${engine.id} is back`);
  };
  const runAt = (index: number) =>
  async (
    request: IncomingMessage,
    response: ServerResponse,
    headers: Record<string, string>,
  ) => {
    const engine = engines[index];
    if (engine === undefined) return;
    if (request.url === "/log-review/deadly") {
      deadly.set(headers["x-attempt-id"] ?? "", {
        engine: engine.id,
        at_ms: now(),
      });
      if (TROUBLE) return void crash(engine);
    }
    response.writeHead(200, {
      ...headers,
      "content-type": "text/event-stream",
    });
    for (let id = 1; id <= EVENTS; id++) {
      response.write(`id: ${id}\ndata: token\n\n`);
      await sleep(EVENT_INTERVAL_MS);
    }
    response.end();
  };
  for (let index = 0; index < ENGINES; index++) {
    engines.push(
      await deployment.addEngine(`i-${index}`, "model-pool", runAt(index)),
    );
  }
  deployment.publish(manifest(
    1,
    [route("log-review", "streaming", "model-pool", {
      timeout_ms: DEADLINE_MS,
      target_latency_ms: 1_000,
      sticky: true,
    })],
    [service("model-pool", { max_connections: 620, engine: { slots: 128 } })],
  ));
  await deployment.startGateways(HOSTS);
  await sleep(BOUNDS.contact_ms + 500);
  const end_ms = now() + OBSERVED_MS;
  const callers = deployment.gateways.map((gateway) => gateway.callers);
  let sound = 0;
  let brokenOff = 0;
  const sent_ms = new Map<string, number>();
  const post = (path: string, body: string, own: string, turn: number) => {
    const headers = attemptHeaders(DEADLINE_MS, {
      "x-model": "m",
      "x-token-usage": "8400,50",
      "x-prompt-prefix": `${SHARED_PARTS},${own}:100`,
    });
    const id = headers["x-attempt-id"] ?? "";
    sent_ms.set(id, now());
    const address = callers[turn % callers.length] ?? "";
    const sending = send(address, {
      method: "POST",
      path,
      headers,
      body,
      wait_ms: DEADLINE_MS,
    });
    return sending.then((answer) => {
      record(`${path} ${id}: ${answer.status} ${answer.error ?? "whole"}`);
      return answer;
    });
  };
  const sendDeadly = async () => {
    for (let turn = 0; now() < end_ms; turn++) {
      void post("/log-review/deadly", DEADLY_BODY, "dead0001", turn);
      await sleep(INTERVAL_MS);
    }
  };
  const sendSound = async () => {
    const sending: Promise<void>[] = [];
    for (let turn = 0; now() < end_ms; turn++) {
      const own = (0xa0000000 + turn).toString(16);
      sending.push(
        post(`/log-review/${turn}`, `log ${turn}`, own, turn).then((answer) => {
          sound += 1;
          if (answer.status === 200 && answer.error !== undefined) {
            brokenOff += 1;
          }
        }),
      );
      await sleep(SOUND_INTERVAL_MS);
    }
    await Promise.all(sending);
  };
  await Promise.all([sendDeadly(), sendSound()]);
  const third_ms = crashes_ms[CRASHES - 1] ?? Infinity;
  const late = [...deadly].filter(([id]) =>
    (sent_ms.get(id) ?? 0) > third_ms + BOUNDS.contact_ms
  );
  const ran = new Set([...deadly.values()].map(({ engine }) => engine));
  record(
    `the request ran ${deadly.size} times, at ${[...ran].join(", ")}; ` +
      `${crashes_ms.length} crashes; of its attempts sent over contact_ms ` +
      `after the third crash, ${late.length} reached engines`,
  );
  record(`${sound} sound streams, ${brokenOff} broken off after they began`);
  return late.length <= MAX_RETRIES;
}

await runScript(join("review", "4"), run);
