/**
 * Requests of a soak that are answered in one body: unsafe ones, and probes that
 * show which manifest a host follows.
 */
import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallerRecord,
  type CallersOptions,
  HOSTNAME,
} from "./caller_record.ts";
import { probePath } from "./manifest.ts";
import type { SoakStage } from "./play_schedule.ts";
import type { SoakHost } from "./soak_host.ts";

const PROBE_INTERVAL_MS = 60;
const UNSAFE_INTERVAL_MS = 150;
const DEADLINE_MS = 2_000;
const TIMEOUT_MS = 2_500;
const NOT_FOUND = 404;

/** Sends unsafe requests to any host, until the time is over. */
export async function sendUnsafe(
  { stage, random, end_ms }: CallersOptions,
  record: CallerRecord,
): Promise<void> {
  const { deployment, log } = stage;
  const pending: Promise<void>[] = [];
  for (let n = 0; performance.now() < end_ms; n++) {
    const attempt_id = `unsafe-${n}`;
    const { hosts } = deployment;
    const host = hosts[Math.floor(random() * hosts.length)] as SoakHost;
    const sent = sendShort(deployment.callersAddress(host), {
      path: "/stamp/x",
      attempt_id,
    });
    pending.push(sent.then((status) => {
      record.unsafe.push({ attempt_id, status });
      log.add(`unsafe attempt=${attempt_id} at=${host.name} status=${status}`);
    }));
    await sleep(UNSAFE_INTERVAL_MS);
  }
  await Promise.all(pending);
}

/** Asks a host which manifest it follows, until the time is over. */
export async function probeVersions(
  host: SoakHost,
  { stage, end_ms }: CallersOptions,
  record: CallerRecord,
): Promise<void> {
  const pending: Promise<void>[] = [];
  for (let n = 0; performance.now() < end_ms; n++) {
    // Older versions too: a host that shows one has gone back.
    const version = stage.deployment.manifestVersion - n % 3;
    if (version > 0) {
      pending.push(probeVersion(host, { version, n }, { stage, record }));
    }
    await sleep(PROBE_INTERVAL_MS);
  }
  await Promise.all(pending);
}

async function probeVersion(
  host: SoakHost,
  { version, n }: { version: number; n: number },
  { stage, record }: { stage: SoakStage; record: CallerRecord },
): Promise<void> {
  const sent_ms = performance.now();
  const { lifetimes } = host;
  const status = await sendShort(host.callers, {
    path: probePath(version),
    attempt_id: `probe-${host.name}-${n}`,
  });
  const isShown = status !== 0 && status !== NOT_FOUND && status < 500;
  if (!isShown || host.lifetimes !== lifetimes) return;
  const answered_ms = performance.now();
  record.versions.push({
    host: host.name,
    lifetime: lifetimes,
    version,
    sent_ms,
    answered_ms,
  });
  stage.log.add(`shows host=${host.name} version=${version}`);
}

/** Sends a request on a connection of its own; resolves to its status, or to 0. */
function sendShort(
  address: string,
  { path, attempt_id }: { path: string; attempt_id: string },
): Promise<number> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: HOSTNAME,
        "x-attempt-id": attempt_id,
        "x-deadline-ms": String(DEADLINE_MS),
      },
    }, (incoming) => {
      incoming.resume();
      incoming.on("error", () => {});
      incoming.on("close", () => resolve(incoming.statusCode ?? 0));
    });
    const timer = setTimeout(() => outgoing.destroy(), TIMEOUT_MS);
    outgoing.on("error", () => resolve(0));
    outgoing.on("close", () => {
      clearTimeout(timer);
      resolve(0);
    });
    outgoing.end("x");
  });
}
