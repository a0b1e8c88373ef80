import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { createMetrics, MetricName } from "../../src/metrics/metrics.ts";

test("metrics reach StatsD with their tags", async (t) => {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  t.after(() => socket.close());
  const address = { ip: "127.0.0.1", port: socket.address().port };
  const metrics = createMetrics({ address, prefix: "p." }, "entry-1");
  t.after(() => metrics.close());
  metrics.count(MetricName.Requests, { rank: "urgent" });
  const [message] = await once(socket, "message");
  assert.equal(
    String(message).trim(),
    "p.requests:1|c|#host:entry-1,rank:urgent",
  );
});

test("every metric is documented", () => {
  const page = readFileSync(
    join(import.meta.dirname, "../../docs/METRICS.md"),
    "utf8",
  );
  for (const name of Object.values(MetricName)) {
    assert.ok(page.includes(`\`${name}\``), name);
  }
});
