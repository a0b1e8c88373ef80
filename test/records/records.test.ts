import assert from "node:assert/strict";
import { test } from "node:test";
import { stringify } from "yaml";
import { formatFindings } from "../../src/findings/finding.ts";
import { parseRecord } from "../../src/records/parse_record.ts";
import {
  checkRecordConsistency,
  createRecordSet,
} from "../../src/records/record_set.ts";
import { splitYamlDocuments } from "../../src/records/split_yaml_documents.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";

function parse(record: object) {
  const parsed = parseRecord("record.yaml", stringify(record));
  assert.ok(parsed.ok, parsed.ok ? "" : formatFindings(parsed.findings));
  return parsed.value;
}

test("both schema versions are converted to the same internal form", (t) => {
  const v1 = parse({
    schema_version: 1,
    kind: "Pipeline",
    fleet: "khuree",
    name: "stamp",
    deadline_ms: 2_500,
    stages: [{ name: "stamp", pool: "stamp" }],
  });
  const v2 = parse({
    schema_version: 2,
    kind: "Pipeline",
    fleet: "khuree",
    name: "stamp",
    deadline: { default_s: 2.5 },
    stages: [{
      name: "stamp",
      pool: { fleet: "khuree", name: "stamp" },
      repeat: "forbidden",
    }],
  });
  assert.deepEqual(v1.record, v2.record);
  t.assert.snapshot(v1.record);
});

test("records of equal names in different fleets are kept apart", () => {
  const records = sampleRecords().map((record) => parse(record).record);
  const set = createRecordSet(records);
  const names = ["khuree/docks", "hooghly/docks"];
  const [khuree, hooghly] = names.map((name) => set.organisations.get(name));
  assert.ok(khuree !== undefined && hooghly !== undefined);
  assert.notDeepEqual(khuree.key_hashes, hooghly.key_hashes);
  assert.equal(set.pipelines.get("khuree/review")?.stages.length, 4);
  assert.equal(set.pipelines.get("hooghly/review")?.stages.length, 2);
});

test("every error in a record is reported with its location", (t) => {
  const text = `schema_version: 2
kind: Endpoint
fleet: khuree
name: Encode One
pool: encode
location:
  address: encode.local:80
capacity: { slots: 0, speed: 3 }
state: asleep
`;
  const parsed = parseRecord("endpoint.yaml", text);
  assert.ok(!parsed.ok);
  t.assert.snapshot(formatFindings(parsed.findings).split("\n"));
});

test("an unknown kind or schema version is a finding", (t) => {
  const parsed = parseRecord("a.yaml", "kind: Widget\nschema_version: 7\n");
  assert.ok(!parsed.ok);
  t.assert.snapshot(formatFindings(parsed.findings).split("\n"));
});

test("missing pools and keys of several organisations are findings", (t) => {
  const organisation = (name: string) => ({
    schema_version: 1,
    kind: "Organisation",
    fleet: "khuree",
    name,
    key_sha256: ["0".repeat(64)],
    requests_per_second: 1,
    burst_requests: 1,
  });
  const findings = checkRecordConsistency([
    parse(organisation("first")),
    parse(organisation("second")),
    parse({
      schema_version: 1,
      kind: "Pipeline",
      fleet: "khuree",
      name: "p",
      deadline_ms: 1,
      stages: [{ name: "a", pool: "nowhere" }],
    }),
  ]);
  t.assert.snapshot(formatFindings(findings).split("\n"));
});

test("documents of one file keep the line numbers of the file", () => {
  const [first, second] = splitYamlDocuments("a: 1\n---\n# note\nb: 2\n");
  assert.equal(first, "a: 1");
  assert.equal(second, "\n\n# note\nb: 2\n");
});
