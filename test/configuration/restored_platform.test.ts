/** The accepted configuration when the platform came back from an older copy. */
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import {
  ACCEPTED_CONFIGURATION_KEY,
  type AcceptedConfiguration,
} from "../../src/configuration/accepted_configuration.ts";
import { ConfigurationState } from "../../src/configuration/configuration_state.ts";
import { watchConfiguration } from "../../src/configuration/configuration_watch.ts";
import { runPublisher } from "../../src/configuration/publisher.ts";
import { createLogger } from "../../src/logging/logger.ts";
import { FakePlatform } from "../fake_platform.ts";

/** Time within which an accepted configuration is in force. */
const MAX_PROPAGATION_MS = 6_000;

function pool(name: string) {
  return {
    schema_version: 1,
    kind: "EndpointPool",
    fleet: "khuree",
    name,
    protocol: "json",
    path: `/${name}`,
  };
}

async function writeRecord(platform: FakePlatform, name: string) {
  const key = `records/EndpointPool/khuree/${name}`;
  const written = await platform.put(key, pool(name), { absent: true });
  assert.ok(written.ok);
}

/** Writes objects until the platform has given out this revision. */
async function advanceTo(platform: FakePlatform, revision: number) {
  for (let n = 0; platform.copy().revision < revision; n++) {
    await platform.put(`other/${n}`, {}, { absent: true });
  }
}

/** A host that publishes the records and watches what is accepted. */
function startHost(t: TestContext, platform: FakePlatform): ConfigurationState {
  const stop = new AbortController();
  t.after(() => stop.abort());
  const state = new ConfigurationState(() => {});
  const options = {
    platform,
    state,
    log: createLogger({ level: "error", host: "h", writeLine: () => {} }),
    watch_ms: 5,
    shouldPublish: () => true,
    random: Math.random,
    signal: stop.signal,
  };
  void runPublisher(options);
  void watchConfiguration(options);
  return state;
}

async function waitForPools(
  state: ConfigurationState,
  names: string[],
): Promise<void> {
  const end_ms = performance.now() + MAX_PROPAGATION_MS;
  const active = () =>
    [...state.records.pools.values()].map(({ name }) => name).sort();
  while (`${active()}` !== `${names}` && performance.now() < end_ms) {
    await sleep(5);
  }
  assert.deepEqual(active(), names);
}

test("a record that is written after a restoration is in force, also where a lost generation was", async (t) => {
  const platform = new FakePlatform();
  const state = startHost(t, platform);
  await writeRecord(platform, "a");
  await waitForPools(state, ["a"]);
  const copy = platform.copy();
  for (const name of ["b", "c", "d"]) {
    await writeRecord(platform, name);
    await sleep(50);
  }
  await waitForPools(state, ["a", "b", "c", "d"]);
  platform.restore(copy);
  await writeRecord(platform, "e");
  await waitForPools(state, ["a", "e"]);
  const accepted = platform.objects.get(ACCEPTED_CONFIGURATION_KEY)
    ?.value as AcceptedConfiguration;
  assert.equal(accepted.generation, state.generation);
});

test("a record that is written again at a revision that had been given out is not missed", async (t) => {
  const platform = new FakePlatform();
  const state = startHost(t, platform);
  await writeRecord(platform, "a");
  await waitForPools(state, ["a"]);
  const copy = platform.copy();
  await writeRecord(platform, "b");
  await waitForPools(state, ["a", "b"]);
  const lost_revision = platform.copy().revision;
  platform.unavailable = true;
  await sleep(50);
  platform.restore(copy);
  platform.unavailable = false;
  await writeRecord(platform, "c");
  await advanceTo(platform, lost_revision + 1);
  await waitForPools(state, ["a", "c"]);
});
