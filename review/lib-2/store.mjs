/**
 * A store as `PROTOCOL.md` describes it: objects by kind and name, one revision
 * counter, lists, watches, and conditional writes.
 */
import { createServer } from "node:http";

const PAGE = 500;

/** Starts a store; `cutWatchesAfterMs` breaks off watches that wait so long. */
export async function startStore({ ip, cutWatchesAfterMs } = {}) {
  const kinds = new Map();
  const events = [];
  const watches = new Set();
  let revision = 1;
  const store = {
    calls: 0,
    cuts: 0,
    cutWatchesAfterMs,
    put,
    remove,
    names: (kind) => [...of(kind).keys()],
    get: (kind, name) => of(kind).get(name),
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };

  function of(kind) {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  }

  function publish(kind, object, deleted) {
    events.push({ kind, revision, object, deleted });
    for (const watch of [...watches]) watch();
  }

  function put(kind, name, spec) {
    const known = of(kind).get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }
    revision += 1;
    const object = {
      metadata: {
        name,
        revision,
        created: known?.metadata.created ?? revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: known?.status ?? null,
    };
    of(kind).set(name, object);
    publish(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = of(kind).get(name);
    if (object === undefined) return undefined;
    of(kind).delete(name);
    revision += 1;
    publish(kind, object, true);
    return object;
  }

  function send(response, status, body) {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(text),
    });
    response.end(text);
  }

  function watch(response, kind, query) {
    const since = Number(query.get("watch"));
    const fresh = () =>
      events.filter((e) => e.kind === kind && e.revision > since);
    const answer = () => {
      clearTimeout(timer);
      clearTimeout(cut);
      watches.delete(check);
      if (response.destroyed) return;
      send(response, 200, {
        events: fresh().map(({ object, deleted }) => ({ object, deleted })),
        as_of: revision,
      });
    };
    const check = () => {
      if (fresh().length > 0) answer();
    };
    const breakOff = () => {
      clearTimeout(timer);
      watches.delete(check);
      store.cuts += 1;
      response.destroy();
    };
    const hasNews = fresh().length > 0;
    const wait_ms = hasNews ? 0 : Number(query.get("wait_ms") ?? 0);
    const cut_ms = hasNews ? undefined : store.cutWatchesAfterMs;
    const timer = setTimeout(answer, wait_ms);
    const cut = cut_ms === undefined ? undefined : setTimeout(breakOff, cut_ms);
    watches.add(check);
    response.once("close", () => {
      clearTimeout(timer);
      clearTimeout(cut);
      watches.delete(check);
    });
  }

  function list(response, kind, after) {
    const names = store.names(kind).sort().filter((name) => name > after);
    send(response, 200, {
      items: names.slice(0, PAGE).map((name) => of(kind).get(name)),
      has_more: names.length > PAGE,
      as_of: revision,
    });
  }

  function write(response, request, { kind, name, body, query }) {
    const target = name ?? body.metadata?.name;
    const known = of(kind).get(target);
    const wanted = body.metadata?.revision ?? query.get("revision");
    if (request.method === "POST" && known) return send(response, 409, known);
    if (request.method !== "POST" && !known) return send(response, 404, {});
    if (
      wanted !== undefined && wanted !== null && known &&
      Number(wanted) !== known.metadata.revision
    ) return send(response, 409, known);
    if (request.method === "DELETE") {
      return send(response, 200, remove(kind, target));
    }
    send(response, 200, put(kind, target, body.spec));
  }

  const server = createServer(async (request, response) => {
    store.calls += 1;
    let text = "";
    for await (const chunk of request) text += chunk;
    const url = new URL(request.url, "http://store");
    const [kind, name] = url.pathname.slice("/v1/objects/".length).split("/")
      .map(decodeURIComponent);
    const query = url.searchParams;
    if (request.method !== "GET") {
      const body = text === "" ? {} : JSON.parse(text);
      return write(response, request, { kind, name, body, query });
    }
    if (name) {
      const object = of(kind).get(name);
      return object ? send(response, 200, object) : send(response, 404, {});
    }
    if (query.has("watch")) return watch(response, kind, query);
    list(response, kind, query.get("after") ?? "");
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => server.listen(0, ip, resolve));
  store.address = `${ip}:${server.address().port}`;
  return store;
}
