/** The `evacuate` command, against the stand-in for the store and a host. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { deploymentAdapter } from "../../platform/adapter.ts";
import { createEvacuateCommand } from "../../src/cli/commands/evacuate.ts";
import { UsageError } from "../../src/cli/define_command.ts";
import { ExitCode } from "../../src/cli/exit_code.ts";
import {
  Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";
import { StoreFault } from "../../stand_ins/deployment/object_store.ts";
import {
  call,
  firstGateway,
  KIND,
  startFleet,
  waitForLine,
} from "../evacuations/evacuating_fleet.ts";

const command = createEvacuateCommand(deploymentAdapter);

function writeSettings(
  t: TestContext,
  { store, metrics, evacuations = "evacuations: { in_force_ms: 2000 }" }: {
    store: string;
    metrics: string;
    evacuations?: string;
  },
): string {
  const directory = mkdtempSync(join(tmpdir(), "evacuate-"));
  t.after(() => rmSync(directory, { recursive: true }));
  const file = join(directory, "gateway.yaml");
  writeFileSync(
    file,
    `host: { name: gateway-1, availability_zone: az-1 }
listen:
  callers: 127.0.0.1:1
  readiness: 127.0.0.1:2
  peers: 127.0.0.1:3
  metrics: ${metrics}
object_store: { address: "${store}" }
${evacuations}
`,
  );
  return file;
}

async function run(settings: string, ...positional: string[]) {
  const lines: string[] = [];
  const errors: string[] = [];
  const exit = await command.run({
    positional,
    options: { settings },
    print: (line) => lines.push(line),
    printError: (line) => errors.push(line),
  });
  return { exit, lines, errors };
}

test("an operator requests, watches and cancels an evacuation", async (t) => {
  const engines = {
    [Service.Desk]: [{ id: "desk-1", work_ms: 1_500 }],
    [Service.Model]: [],
    [Service.Encode]: [],
    [Service.Rank]: [],
  };
  const fleet = await startFleet(t, { engines });
  const { metrics } = firstGateway(fleet);
  const settings = writeSettings(t, { store: fleet.store.address, metrics });
  assert.deepEqual((await run(settings, "list")).lines, [
    "No zone is evacuated",
  ]);
  const running = call(firstGateway(fleet), "/stamp/1", {
    "x-deadline-ms": "1900",
  });
  await waitUntil(() => fleet.engine(Service.Desk).receivedRequests.length > 0);
  assert.deepEqual(await run(settings, "request", "az-1"), {
    exit: ExitCode.Success,
    lines: [
      "The evacuation of az-1 is requested; in force in 2000 ms at 1 endpoints",
    ],
    errors: [],
  });
  await waitForLine(fleet, "event=evacuation zone=az-1 state=begun");
  assert.deepEqual((await run(settings, "list")).lines, [
    "az-1  1 exchanges of gateway-1 still run there",
  ]);
  assert.equal((await running).status, 200);
  assert.deepEqual((await run(settings, "list")).lines, [
    "az-1  0 exchanges of gateway-1 still run there",
  ]);
  assert.equal((await run(settings, "cancel", "az-1")).exit, ExitCode.Success);
  assert.deepEqual(fleet.store.listNames(KIND), []);
  await waitForLine(fleet, "event=evacuation zone=az-1 state=ended");
  assert.deepEqual((await run(settings, "cancel", "az-1")).errors, [
    "az-1 is not evacuated",
  ]);
});

test("a zone without endpoints, hosts that ignore evacuations, and a store that is away are reported", async (t) => {
  const fleet = await startFleet(t);
  const { metrics } = firstGateway(fleet);
  const store = fleet.store.address;
  const settings = writeSettings(t, { store, metrics });
  const unknown = await run(settings, "request", "az-9");
  assert.equal(unknown.exit, ExitCode.Failure);
  assert.deepEqual(unknown.errors, [
    "No endpoint is in az-9: check the name",
  ]);
  const without = writeSettings(t, { store, metrics, evacuations: "" });
  const ignored = await run(without, "request", "az-1");
  assert.equal(ignored.exit, ExitCode.Failure);
  assert.match(ignored.errors.join(), /evacuations\.in_force_ms/);
  assert.deepEqual(fleet.store.listNames(KIND), ["az-9"]);
  const mute = writeSettings(t, { store, metrics: "127.0.0.1:9" });
  assert.deepEqual((await run(mute, "list")).lines, [
    "az-9  what runs there is unknown: no metrics at 127.0.0.1:9",
  ]);
  fleet.store.fault = StoreFault.Unavailable;
  const away = await run(settings, "cancel", "az-9");
  assert.deepEqual([away.exit, away.errors], [ExitCode.Failure, [
    "The object store did not do it: status 503",
  ]]);
});

test("an unknown action, or a name that can't be a zone, is wrong usage", async (t) => {
  const settings = writeSettings(t, {
    store: "127.0.0.1:9",
    metrics: "127.0.0.1:9",
  });
  for (
    const args of [[], ["drain"], ["request"], ["request", ""], [
      "cancel",
      "\n",
    ]]
  ) {
    await assert.rejects(run(settings, ...args), UsageError);
  }
});
