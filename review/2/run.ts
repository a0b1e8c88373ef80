/** One engine answers with plain bodies without end, in small chunks. */
import { readFileSync } from "node:fs";
import { Agent } from "node:http";
import { join } from "node:path";
import {
  answerWhole,
  attemptHeaders,
  type Deployment,
  type Gateway,
  LIMITS,
  manifest,
  now,
  record,
  route,
  runScript,
  send,
  service,
  sleep,
  TROUBLE,
} from "../lib/deployment.ts";
import { answerWithoutEnd } from "../lib/endless.ts";

/** Bytes that the engine writes a second on a channel: 64 Mbit/s. */
const BYTES_PER_S = 8_000_000;
const OBSERVED_MS = 45_000;
const HOSTS = 2;
/** Pause between two questions at one host. */
const QUESTION_INTERVAL_MS = 4_000;
const STAMP_INTERVAL_MS = 40;
/** Pause before the platform starts an ended process again. */
const RESTART_MS = 1_000;
/** Requesters at each host, each with a channel of its own. */
const REQUESTERS = 6;
/** Requests that the rule allows to be lost. */
const MAX_LOST = 3;

/** Memory of a host's process, in megabytes; 0 if it has ended. */
function memoryMb({ process }: Gateway): number {
  try {
    const status = readFileSync(`/proc/${process.pid}/status`, "utf8");
    const kib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    return kib * 1_024 / 1_000_000;
  } catch {
    return 0;
  }
}

/** Ends a process that exceeds its memory, and starts ended ones again. */
async function platform(
  deployment: Deployment,
  gateway: Gateway,
  end_ms: number,
): Promise<void> {
  while (now() < end_ms) {
    await sleep(20);
    const { process } = gateway;
    const memory_mb = memoryMb(gateway);
    if (memory_mb > LIMITS.memory_mb) {
      record(`platform: ${gateway.name} has ${Math.round(memory_mb)} MB`);
      process.kill("SIGKILL");
      await new Promise((resolve) => process.once("exit", resolve));
    } else if (process.exitCode === null && process.signalCode === null) {
      continue;
    }
    gateway.ends += 1;
    await sleep(RESTART_MS);
    deployment.restart(gateway);
    await deployment.waitUntilReady(gateway);
  }
}

async function run(deployment: Deployment): Promise<boolean> {
  await deployment.startStore();
  const desk = await deployment.addEngine("i-1", "cert-desk", answerWhole(21));
  await deployment.addEngine(
    "i-2",
    "model-pool",
    TROUBLE ? answerWithoutEnd(BYTES_PER_S) : answerWhole(21),
  );
  deployment.publish(manifest(
    1,
    [
      route("cert-stamp", "unsafe", "cert-desk"),
      route("knot-qa", "streaming", "model-pool", {
        timeout_ms: 20_000,
        target_latency_ms: 4_000,
      }),
    ],
    [service("cert-desk"), service("model-pool", { max_connections: 620 })],
  ));
  await deployment.startGateways(HOSTS);
  await sleep(3_500);
  const end_ms = now() + OBSERVED_MS;
  let stamps = 0;
  let lost = 0;
  /** Sends stamps on one kept channel, one after the other. */
  const stampOften = async ({ callers, name }: Gateway) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let isKept = false;
    while (now() < end_ms) {
      const headers = attemptHeaders(1_500);
      const sent = {
        method: "POST",
        path: "/cert-stamp/1",
        headers,
        body: "line",
        wait_ms: 1_500,
      };
      const answer = await send(callers, sent, agent);
      const id = headers["x-attempt-id"] ?? "";
      const isRun = desk.runs.some((each) => each.id === id);
      const isCut = answer.status === undefined && !answer.timedOut;
      record(
        `${name} ${id}: ${answer.error ?? answer.status}` +
          `${isKept ? " on a kept channel" : ""}${isRun ? ", run" : ""}`,
      );
      stamps += 1;
      if (isKept && isRun && isCut) lost += 1;
      isKept = answer.error === undefined;
      await sleep(isKept ? STAMP_INTERVAL_MS : RESTART_MS / 2);
    }
    agent.destroy();
  };
  const askOften = async ({ callers, name }: Gateway) => {
    while (now() < end_ms) {
      const asked = send(callers, {
        method: "POST",
        path: "/knot-qa/1",
        headers: attemptHeaders(20_000),
        body: "question",
        wait_ms: 20_000,
      });
      void asked.then(({ error, status }) =>
        record(`${name}: a question got ${error ?? status}`)
      );
      await sleep(QUESTION_INTERVAL_MS);
    }
  };
  await Promise.all(deployment.gateways.flatMap((gateway) => [
    platform(deployment, gateway, end_ms),
    ...Array.from({ length: REQUESTERS }, () => stampOften(gateway)),
    askOften(gateway),
  ]));
  for (const { name, ends } of deployment.gateways) {
    record(`${name} has ended ${ends} times over its memory or by itself`);
  }
  record(
    `${stamps} stamps; passed on from a kept channel and run by a sound ` +
      `engine, but the channel closed without an answer: ${lost}`,
  );
  return lost <= MAX_LOST;
}

await runScript(join("review", "2"), run);
