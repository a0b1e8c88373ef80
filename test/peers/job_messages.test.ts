/** Job messages whose sender closes its connection. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type JobOutcome, JobOutcomeKind } from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { JOB_PATH, serveJobMessage } from "../../src/peers/job_messages.ts";

const BLOCKED_MS = 700;
const OUTCOME: JobOutcome = { kind: JobOutcomeKind.InputsGone };
const JOB = JSON.stringify({
  attempt_id: "a",
  pool: "encode",
  stage: 0,
  pieces: [{ index: 0, key: "k" }],
  result_bytes: 10,
  priority: 0,
  due_in_ms: 1_000,
  expires_in_ms: 5_000,
  input_bytes: 0,
  last_read: [],
});

/** A host that counts the jobs and the messages that it has done with. */
async function startHost(t: TestContext) {
  const counts = { jobs: 0, served: 0 };
  const server = createServer((request, response) => {
    void serveJobMessage(request, response, {
      run() {
        counts.jobs += 1;
        return Promise.resolve(OUTCOME);
      },
      free: () => {},
      log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    }).finally(() => counts.served += 1);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const peer = connect({ port, host: "127.0.0.1", noDelay: true });
  await once(peer, "connect");
  await sleep(50);
  return { counts, peer };
}

function writeMessage(peer: Socket, body: string): void {
  peer.write(
    `POST ${JOB_PATH} HTTP/1.1\r\nhost: h\r\n` +
      `content-length: ${JOB.length}\r\n\r\n${body}`,
  );
}

test("a message whose sender stays is served", async (t) => {
  const { counts, peer } = await startHost(t);
  writeMessage(peer, JOB);
  await sleep(100);
  assert.deepEqual(counts, { jobs: 1, served: 1 });
  peer.destroy();
});

test("a message that is broken off ends", async (t) => {
  const { counts, peer } = await startHost(t);
  writeMessage(peer, JOB.slice(0, -9));
  await sleep(50);
  peer.destroy();
  await sleep(100);
  assert.deepEqual(counts, { jobs: 0, served: 1 });
});

test("a job isn't run if its sender left while the loop was late", async (t) => {
  const { counts, peer } = await startHost(t);
  writeMessage(peer, JOB);
  peer.destroy();
  await new Promise((resolve) => setImmediate(resolve));
  const end_ms = performance.now() + BLOCKED_MS;
  while (performance.now() < end_ms);
  await sleep(100);
  assert.deepEqual(counts, { jobs: 0, served: 1 });
});
