/** A link does to connections what the cuts in force say. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { waitUntil } from "../../stand_ins/deployment/gateway_fleet.ts";
import { Link } from "../../stand_ins/soak/link.ts";
import {
  LinkFault,
  LinkGroup,
  NetworkFaults,
} from "../../stand_ins/soak/network_faults.ts";

const CUT_HOST = "127.66.0.1";
const OTHER_HOST = "127.66.0.2";
const SHORT_MS = 50;

const server = createServer((socket) => {
  socket.on("error", () => {});
  socket.pipe(socket);
});
let faults: NetworkFaults;
let link: Link;

beforeEach(async () => {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  faults = new NetworkFaults();
  link = new Link({
    place: { group: LinkGroup.Endpoints },
    target: () => `127.0.0.1:${port}`,
    faults,
  });
  await link.start();
});

afterEach(() => {
  link.stop();
  server.close();
});

function cut(fault: LinkFault): () => void {
  const hosts = new Set([CUT_HOST]);
  return faults.cut({ hosts, toward: LinkGroup.Endpoints, fault });
}

/** Connects from a host's address; what comes back is added up. */
function connectFrom(localAddress: string): {
  socket: Socket;
  received: () => string;
  closed: () => boolean;
} {
  const [host, port] = link.address.split(":");
  const socket = connect({ host, port: Number(port), localAddress });
  let text = "";
  let closed = false;
  socket.on("data", (bytes) => text += bytes.toString());
  socket.on("error", () => {});
  socket.on("close", () => closed = true);
  return { socket, received: () => text, closed: () => closed };
}

test("a silent cut holds back what one host sends until it ends", async () => {
  const near = connectFrom(CUT_HOST);
  const other = connectFrom(OTHER_HOST);
  const end = cut(LinkFault.Silent);
  near.socket.write("held");
  other.socket.write("passed");
  await waitUntil(() => other.received() === "passed");
  await sleep(SHORT_MS);
  assert.equal(near.received(), "");
  end();
  await waitUntil(() => near.received() === "held");
  assert.equal(near.closed(), false);
});

test("a cut may hold back one direction only", async () => {
  const near = connectFrom(CUT_HOST);
  const received: string[] = [];
  server.once("connection", (socket: Socket) => {
    socket.on("data", (bytes) => received.push(bytes.toString()));
  });
  cut(LinkFault.SilentToClient);
  near.socket.write("arrives");
  await waitUntil(() => received.join("") === "arrives");
  await sleep(SHORT_MS);
  assert.equal(near.received(), "");
});

test("a reset ends open connections, a refusal only new ones", async () => {
  const open = connectFrom(CUT_HOST);
  open.socket.write("is open");
  await waitUntil(() => open.received() === "is open");
  const end = cut(LinkFault.Refuse);
  const refused = connectFrom(CUT_HOST);
  open.socket.write(" and lives");
  await waitUntil(() => refused.closed());
  await waitUntil(() => open.received() === "is open and lives");
  assert.equal(open.closed(), false);
  end();
  cut(LinkFault.Reset);
  await waitUntil(() => open.closed());
});

test("hosts that are cut off together reach one another", () => {
  const hosts = new Set([CUT_HOST, OTHER_HOST]);
  faults.cut({ hosts, toward: LinkGroup.Hosts, fault: LinkFault.Silent });
  const find = (source: string, host: string) =>
    faults.find(source, { group: LinkGroup.Hosts, host });
  assert.equal(find(CUT_HOST, OTHER_HOST), undefined);
  assert.equal(find(CUT_HOST, "127.66.0.3"), LinkFault.Silent);
  assert.equal(find("127.66.0.3", CUT_HOST), LinkFault.Silent);
});
