import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationState } from "../../src/configuration/configuration_state.ts";
import { ConfigurationSource } from "../../src/configuration/configuration_state.ts";
import {
  planPublication,
  PublicationPlanKind,
} from "../../src/configuration/plan_publication.ts";
import type { PlatformListing } from "../../src/object_api/types.ts";

const POOL = {
  schema_version: 1,
  kind: "EndpointPool",
  fleet: "khuree",
  name: "encode",
  protocol: "json",
  path: "/encode",
};
const PIPELINE = {
  schema_version: 1,
  kind: "Pipeline",
  fleet: "khuree",
  name: "p",
  deadline_ms: 100,
  stages: [{ name: "a", pool: "encode" }],
};

function listing(
  revision: number,
  ...records: { kind: string; fleet: string; name: string }[]
): PlatformListing {
  const objects = records.map((value) => ({
    key: `records/${value.kind}/${value.fleet}/${value.name}`,
    version: String(revision),
    value,
  }));
  return { revision, objects };
}

function planPublish(...args: Parameters<typeof planPublication>) {
  const plan = planPublication(...args);
  assert.ok(plan.kind === PublicationPlanKind.Publish);
  return plan;
}

test("valid records are published with the next generation", (t) => {
  const plan = planPublish(undefined, listing(3, POOL, PIPELINE));
  t.assert.snapshot(plan);
  const again = planPublication(plan.next, listing(4, POOL, PIPELINE));
  assert.equal(again.kind, PublicationPlanKind.Unchanged);
});

test("an invalid record does not replace the accepted one", (t) => {
  const first = planPublish(undefined, listing(3, POOL, PIPELINE)).next;
  const invalid = { ...PIPELINE, deadline_ms: -1 };
  const plan = planPublication(first, listing(5, POOL, invalid));
  assert.equal(plan.kind, PublicationPlanKind.Unchanged);
  t.assert.snapshot(plan.findings);
});

test("a pool that is deleted while in use stays accepted", (t) => {
  const first = planPublish(undefined, listing(3, POOL, PIPELINE)).next;
  const plan = planPublication(first, listing(5, PIPELINE));
  assert.equal(plan.kind, PublicationPlanKind.Unchanged);
  t.assert.snapshot(plan.findings);
});

test("a record stored under another record's key is a finding", (t) => {
  const misplaced = listing(3, POOL);
  misplaced.objects[0] = {
    key: "records/EndpointPool/khuree/other",
    version: "3",
    value: POOL,
  };
  t.assert.snapshot(planPublication(undefined, misplaced).findings);
});

test("a listing older than the accepted configuration is not used", () => {
  const first = planPublish(undefined, listing(3, POOL)).next;
  const plan = planPublication(first, listing(2, POOL, PIPELINE));
  assert.equal(plan.kind, PublicationPlanKind.StaleListing);
});

test("a host applies only configurations of a higher generation", () => {
  const generations: number[] = [];
  const state = new ConfigurationState((generation) =>
    generations.push(generation)
  );
  const apply = (generation: number) =>
    state.applyIfNewer(
      { generation, records_revision: 0, records: [] },
      ConfigurationSource.Peer,
    );
  [2, 1, 2, 5, 3].forEach(apply);
  assert.deepEqual(generations, [2, 5]);
});
