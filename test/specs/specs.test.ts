/** Explores the specifications to the end, and their broken variants. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  COMPLETE_CLAIMS,
  createClaimSpecification,
} from "../../specs/claim_protocol.ts";
import {
  COMPLETE_CONFIGURATION,
  createConfigurationSpecification,
} from "../../specs/configuration_protocol.ts";
import { explore } from "../../specs/explore.ts";

test("a key runs at most once in every state of two attempts", (t) => {
  const { states, transitions, violation } = explore(
    createClaimSpecification(2),
  );
  assert.equal(violation, undefined);
  t.assert.snapshot({ states, transitions });
});

const TWO_PUBLISHERS = { publishers: 2, hosts: 0 };
const ONE_HOST = { publishers: 1, hosts: 1 };

for (const size of [TWO_PUBLISHERS, ONE_HOST]) {
  const { publishers, hosts } = size;
  test(`an accepted configuration never reverts in any state of ${publishers} publishers and ${hosts} hosts`, (t) => {
    const { states, transitions, violation } = explore(
      createConfigurationSpecification(size),
    );
    assert.equal(violation, undefined);
    t.assert.snapshot({ states, transitions });
  });
}

for (const left_out of Object.keys(COMPLETE_CLAIMS)) {
  test(`claims without ${left_out} run a key twice`, (t) => {
    const variant = { ...COMPLETE_CLAIMS, [left_out]: false };
    const { violation } = explore(createClaimSpecification(2, variant));
    t.assert.snapshot(violation ?? "no violation");
    assert.ok(violation !== undefined);
  });
}

const brokenConfigurations = {
  "conditional writes": { size: TWO_PUBLISHERS, conditional: false },
  "the order of reads and the check for stale listings": {
    size: TWO_PUBLISHERS,
    acceptedFirst: false,
    refusesStale: false,
  },
  "the comparison of generations": {
    size: ONE_HOST,
    onlyHigher: false,
  },
};

for (const [left_out, broken] of Object.entries(brokenConfigurations)) {
  const { size, ...change } = broken;
  test(`configuration without ${left_out} reverts`, (t) => {
    const variant = { ...COMPLETE_CONFIGURATION, ...change };
    const { violation } = explore(
      createConfigurationSpecification(size, variant),
    );
    t.assert.snapshot(violation ?? "no violation");
    assert.ok(violation !== undefined);
  });
}
