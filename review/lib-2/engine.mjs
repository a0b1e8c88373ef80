/** Engines as `PROTOCOL.md` describes them, for plain requests and streams. */
import { createServer } from "node:http";

/**
 * Starts an engine. `onRequest` gets each request that it accepts, and answers
 * it; `log` is told of each request that reaches it.
 */
export async function startEngine(
  { ip, port = 0, id, slots = 8, work_ms = 20, log },
) {
  const born = Date.now();
  const engine = {
    id,
    born,
    runs: [],
    /** Replaces the handling of a request; false to handle it as usual. */
    onRequest: () => false,
    headers: {},
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
  let running = 0;
  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("error", () => {});
    response.on("error", () => {});
    request.on("end", () => handle(request, response, Buffer.concat(chunks)));
  });
  server.keepAliveTimeout = 60_000;

  function reply(response, status, headers, body = "") {
    response.writeHead(status, {
      "X-Instance-Id": id,
      "X-Instance-Load": `${running},0,${slots}`,
      ...engine.headers,
      ...headers,
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  function handle(request, response, body) {
    if (request.url === "/v1/report") {
      const report = {
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        running,
        kv_used: 0,
        kv_total: 90_000,
        handles: 0,
        born,
      };
      return reply(
        response,
        200,
        { "Content-Type": "application/json" },
        JSON.stringify(report),
      );
    }
    if (request.url === "/health") return reply(response, 200, {});
    const attempt = request.headers["x-attempt-id"];
    const echo = attempt === undefined ? {} : { "X-Attempt-Id": attempt };
    const expected = request.headers["x-expect-instance"];
    const arrival = { at: Date.now(), attempt, path: request.url, engine: id };
    if (expected !== undefined && expected !== id) {
      log?.({ ...arrival, ran: false });
      return reply(response, 421, echo);
    }
    if (running >= slots) {
      log?.({ ...arrival, ran: false });
      return reply(response, 503, { ...echo, "X-Not-Executed": "1" });
    }
    log?.({ ...arrival, ran: true });
    engine.runs.push(arrival);
    running += 1;
    let ended = false;
    const end = () => {
      if (!ended) running -= 1;
      ended = true;
    };
    response.once("close", end);
    if (engine.onRequest({ request, response, body, echo, end })) return;
    setTimeout(() => {
      end();
      if (response.destroyed) return;
      const signature = { "X-Response-Signature": `s.${attempt}` };
      reply(response, 200, { ...echo, ...signature }, `${id} ${attempt}`);
    }, work_ms);
  }

  await new Promise((resolve) => server.listen(port, ip, resolve));
  engine.port = server.address().port;
  engine.address = `${ip}:${engine.port}`;
  engine.server = server;
  engine.entry = (service, changes = {}) => ({
    service,
    address: engine.address,
    zone: "zone-a",
    version: "v1",
    slots,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born,
    ...changes,
  });
  return engine;
}
