/** The variants of the soak edit lines that are there. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { SOAK_VARIANTS } from "../../stand_ins/soak/variants.ts";

const root = join(import.meta.dirname, "../..");

test("the variants of the soak edit lines that are there", () => {
  for (const { name, file, replace } of SOAK_VARIANTS) {
    const source = readFileSync(join(root, file), "utf8");
    assert.ok(source.includes(replace), `${name}: ${file}`);
  }
});
