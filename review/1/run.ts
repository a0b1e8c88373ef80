/** One engine answers one stream with a body without end, in small chunks. */
import { join } from "node:path";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type Answer,
  answerWhole,
  attemptHeaders,
  type Deployment,
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

const TIMEOUT_MS = 1_500;
/** Time after a route's time-out by which an answer is due. */
const SLACK_MS = 500;
/** For how long requesters wait for an answer, so that it can be seen. */
const WAIT_MS = 6_000;
/** Bytes that the engine writes a second: a sixtieth of its link. */
const BYTES_PER_S = 2_000_000;
const OBSERVED_MS = 20_000;
const INTERVAL_MS = 100;
/** The second rule on time-outs counts from so many requests. */
const MIN_UNANSWERED = 8;

/** A sound stream: five events. */
async function answerStream(
  _request: IncomingMessage,
  response: ServerResponse,
  headers: Record<string, string>,
): Promise<void> {
  response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
  for (let id = 1; id <= 5; id++) {
    response.write(`id: ${id}\ndata: token\n\n`);
    await sleep(20);
  }
  response.end();
}

async function run(deployment: Deployment): Promise<boolean> {
  await deployment.startStore();
  await deployment.addEngine("i-1", "cert-desk", answerWhole(21));
  await deployment.addEngine("i-2", "cert-desk", answerWhole(21));
  await deployment.addEngine(
    "i-3",
    "model-pool",
    TROUBLE
      ? answerWithoutEnd(BYTES_PER_S, { "content-type": "text/event-stream" })
      : answerStream,
  );
  deployment.publish(manifest(
    1,
    [
      route("cert-stamp", "unsafe", "cert-desk", { timeout_ms: TIMEOUT_MS }),
      route("repair-draft", "streaming", "model-pool", {
        timeout_ms: WAIT_MS,
        target_latency_ms: 2_000,
        resumable: true,
      }),
    ],
    [service("cert-desk"), service("model-pool", { max_connections: 620 })],
  ));
  await deployment.startGateways(1);
  const callers = deployment.gateways[0]?.callers ?? "";
  // The host is in touch.
  await sleep(3_500);
  const stamps: Promise<Answer>[] = [];
  const stampOnce = async (): Promise<Answer> => {
    const headers = attemptHeaders(WAIT_MS);
    const answer = await send(callers, {
      method: "POST",
      path: `/cert-stamp/${stamps.length}`,
      headers,
      body: "line",
      wait_ms: WAIT_MS,
    });
    const took_ms = Math.round(answer.end_ms - answer.sent_ms);
    const outcome = answer.error ?? answer.status;
    record(`${headers["x-attempt-id"]}: ${outcome} after ${took_ms} ms`);
    return answer;
  };
  for (let n = 0; n < 10; n++) {
    stamps.push(stampOnce());
    await sleep(INTERVAL_MS);
  }
  record("one request for a draft");
  const draft = send(callers, {
    method: "POST",
    path: "/repair-draft/1",
    headers: attemptHeaders(WAIT_MS),
    body: "log",
    wait_ms: WAIT_MS,
  });
  const end_ms = now() + OBSERVED_MS;
  while (now() < end_ms) {
    stamps.push(stampOnce());
    await sleep(INTERVAL_MS);
  }
  const drafted = await draft;
  record(`the draft: ${drafted.error ?? drafted.status}`);
  const times_ms = (await Promise.all(stamps))
    .map(({ sent_ms, end_ms }) => end_ms - sent_ms);
  const late = times_ms.filter((ms) => ms > TIMEOUT_MS).length;
  const unanswered = times_ms.filter((ms) => ms > TIMEOUT_MS + SLACK_MS).length;
  record(
    `${stamps.length} stamps; not answered at timeout_ms: ${late}; of these ` +
      `not answered half a second later: ${unanswered}`,
  );
  return unanswered < MIN_UNANSWERED || unanswered * 2 <= late;
}

await runScript(join("review", "1"), run);
