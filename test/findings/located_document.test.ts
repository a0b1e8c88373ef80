import assert from "node:assert/strict";
import { test } from "node:test";
import { formatFindings } from "../../src/findings/finding.ts";
import { parseLocatedDocument } from "../../src/findings/located_document.ts";

// Guards against a program that ends with a stack trace on such a file.
test("an alias without its anchor is a finding", () => {
  const parsed = parseLocatedDocument("a.yaml", "name: *missing\n");
  assert.ok(!parsed.ok);
  assert.equal(
    formatFindings(parsed.findings),
    "a.yaml:1:1 Unresolved alias (the anchor must be set before the alias): missing (Write the value in place of the alias)",
  );
});
