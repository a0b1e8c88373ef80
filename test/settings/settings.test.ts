import assert from "node:assert/strict";
import { test } from "node:test";
import { formatFindings } from "../../src/findings/finding.ts";
import { checkSettings } from "../../src/settings/resolve_settings.ts";

const REQUIRED_SETTINGS = `
host: { name: entry-1, availability_zone: az-1 }
listen: { callers: "127.0.0.1:7001", peers: "127.0.0.1:7002" }
peers: { secret: { environment: PEERS } }
operators: { secret: { environment: OPERATORS } }
platform: { address: "127.0.0.1:7000" }
`;
const readSecret = () => "a secret of some length";

function check(text: string, read = readSecret) {
  return checkSettings({ file: "entry.yaml", text, readSecret: read });
}

test("missing settings get their defaults", (t) => {
  const checked = check(REQUIRED_SETTINGS);
  assert.ok(checked.ok);
  t.assert.snapshot(checked.value);
});

test("all errors are reported at once with location and hint", (t) => {
  const checked = check(`
host: { name: Entry One, availability_zone: 5 }
listen: { callers: "localhost:7001", peers: "127.0.0.1:99999" }
peers: { secret: { environment: PEERS }, heartbeat_ms: -1, heartbeats: 2 }
operators: {}
platform: { address: "127.0.0.1:7000", reads_per_second: many }
log: { level: loud }
colour: blue
`);
  assert.ok(!checked.ok);
  t.assert.snapshot(formatFindings(checked.findings).split("\n"));
});

test("invalid YAML and duplicate keys are findings", (t) => {
  const checked = check("host: { name: a\nlisten: 1\nlisten: 2\n");
  assert.ok(!checked.ok);
  t.assert.snapshot(formatFindings(checked.findings).split("\n"));
});

test("secrets that are short or cannot be read are findings", (t) => {
  const missing = check(REQUIRED_SETTINGS, () => {
    throw new Error("The environment variable PEERS is not set");
  });
  const short = check(REQUIRED_SETTINGS, () => "short");
  assert.ok(!missing.ok && !short.ok);
  t.assert.snapshot([
    ...formatFindings(missing.findings).split("\n"),
    ...formatFindings(short.findings).split("\n"),
  ]);
});
