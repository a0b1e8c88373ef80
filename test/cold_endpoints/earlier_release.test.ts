/** Hosts of an earlier release, which know nothing of cold endpoints. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { initTRPC } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { GatewayClients } from "../../src/peers/gateway_clients.ts";
import { endpointNoticeSchema } from "../../src/endpoint_reports/endpoint_notices.ts";
import {
  permitReplySchema,
  permitRequestSchema,
} from "../../src/rate_limits/types.ts";

const HOST = { address: "10.0.0.1:1", started_ms: 5 };

/** Starts a host that answers these procedures alone; resolves to its address. */
async function startHost(
  t: TestContext,
  answer: (() => boolean) | undefined,
): Promise<string> {
  const { router, procedure } = initTRPC.create();
  const lists = answer && { lists: procedure.query(answer) };
  const procedures = { ping: procedure.query(() => true), ...lists };
  const server = createServer(
    createHTTPHandler({ router: router(procedures) }),
  );
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a host that doesn't know the call is told from one that fails", async (t) => {
  const peers = new GatewayClients();
  t.after(() => peers.close());
  const earlier = await startHost(t, undefined);
  assert.equal(await peers.askListed(earlier, HOST), undefined);
  const failing = await startHost(t, () => {
    throw new Error("fault");
  });
  await assert.rejects(peers.askListed(failing, HOST));
  await assert.rejects(peers.askListed("127.0.0.1:1", HOST));
  for (const isListed of [true, false]) {
    const current = await startHost(t, () => isListed);
    assert.equal(await peers.askListed(current, HOST), isListed);
  }
});

test("messages of an earlier release lack the fields of cold endpoints", () => {
  const reply = permitReplySchema.parse({ granted: true, retry_after_ms: 0 });
  assert.equal(reply.cold, undefined);
  const request = permitRequestSchema.parse({
    endpoint: "e/1/10.0.0.1:1",
    per_s: 3,
    age_ms: 0,
  });
  assert.equal(request.cold_per_s, undefined);
  const notice = endpointNoticeSchema.parse({ endpoint: "e/1/10.0.0.1:1" });
  assert.equal(notice.cold_ms, undefined);
});
