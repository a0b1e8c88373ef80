import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { formatFindings } from "../../src/findings/finding.ts";
import { checkGatewaySettings } from "../../src/settings/gateway_settings.ts";

const REQUIRED_SETTINGS = `
host: { name: gateway-1, availability_zone: az-1 }
listen:
  callers: "10.0.0.1:80"
  readiness: "10.0.0.1:81"
  peers: "10.0.0.1:7000"
seeds: ["10.0.0.2:90"]
object_store: { address: "10.0.0.9:99" }
`;

test("missing gateway settings get their defaults", (t) => {
  const checked = checkGatewaySettings("gateway.yaml", REQUIRED_SETTINGS);
  assert.ok(checked.ok);
  t.assert.snapshot(checked.value);
});

test("every error in gateway settings is reported with its location", (t) => {
  const checked = checkGatewaySettings(
    "gateway.yaml",
    `
host: { name: "", cores: -1 }
listen: { callers: "host:80", readiness: "10.0.0.1:81" }
object_store: { address: 5, watch_ms: 0 }
repeats: { ratio: much }
colour: blue
`,
  );
  assert.ok(!checked.ok);
  t.assert.snapshot(formatFindings(checked.findings).split("\n"));
});

/** Renders the sections of a template, which are rendered if a value is there. */
function renderSections(template: string, isPresent: boolean): string {
  return template.replaceAll(
    /^\{\{#([\w.]+)\}\}\n([^]*?)^\{\{\/\1\}\}\n/gm,
    (_, _name, content: string) => isPresent ? content : "",
  );
}

function checkTemplate({ sections }: { sections: boolean }) {
  const root = join(import.meta.dirname, "../..");
  const template = readFileSync(
    join(root, "deploy/gateway.yaml.template"),
    "utf8",
  );
  const filled = renderSections(template, sections)
    .replaceAll("{{seeds|json}}", '["10.0.0.2:90"]')
    .replaceAll(/\{\{(bind\.\w+|platform\.address)\}\}/g, "10.0.0.1:80")
    .replaceAll("{{ip}}", "10.0.0.1")
    .replaceAll("{{limits.cpu_share}}", "0.5")
    .replaceAll("{{timing_bounds.cold_over}}", "1.5")
    .replaceAll("{{timing_bounds.cold_slack}}", "5")
    .replaceAll(/\{\{(node_name|zone)\}\}/g, "text")
    .replaceAll(/\{\{[^}]+\}\}/g, "2");
  const checked = checkGatewaySettings("template", filled);
  assert.ok(checked.ok, checked.ok ? "" : formatFindings(checked.findings));
  return checked.value;
}

test("the deployment template provides every required setting", () => {
  assert.deepEqual(checkTemplate({ sections: true }).evacuations, {
    in_force_ms: 2,
  });
});

test("the deployment template sets no evacuations without their bound", () => {
  assert.equal(checkTemplate({ sections: false }).evacuations, undefined);
});

test("the deployment template bounds cold endpoints where there is a bound", () => {
  assert.deepEqual(checkTemplate({ sections: true }).cold_endpoints, {
    over: 1.5,
    slack: 5,
  });
  assert.equal(checkTemplate({ sections: false }).cold_endpoints, undefined);
});

test("a block for cold endpoints without values gets the defaults", () => {
  const text = `${REQUIRED_SETTINGS}cold_endpoints: {}\n`;
  const checked = checkGatewaySettings("gateway.yaml", text);
  assert.ok(checked.ok);
  assert.deepEqual(checked.value.cold_endpoints, { over: 1.5, slack: 5 });
});

test("a bound for cold endpoints below 0 is reported", () => {
  const text = `${REQUIRED_SETTINGS}cold_endpoints: { over: -1 }\n`;
  assert.ok(!checkGatewaySettings("gateway.yaml", text).ok);
});
