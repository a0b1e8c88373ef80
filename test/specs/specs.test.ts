/**
 * Explores every state of the protocol models: no invariant may break with all
 * safeguards, and one must break when a safeguard is disabled.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ALL_CLAIM_SAFEGUARDS,
  createClaimSpecification,
} from "../../specs/claim_protocol.ts";
import {
  ALL_CONFIGURATION_SAFEGUARDS,
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

for (const disabled of Object.keys(ALL_CLAIM_SAFEGUARDS)) {
  test(`claims without ${disabled} run a key twice`, (t) => {
    const safeguards = { ...ALL_CLAIM_SAFEGUARDS, [disabled]: false };
    const { violation } = explore(createClaimSpecification(2, safeguards));
    t.assert.snapshot(violation ?? "no violation");
    assert.ok(violation !== undefined);
  });
}

const incompleteConfigurations = {
  "conditional writes": { size: TWO_PUBLISHERS, conditionalWrites: false },
  "the order of reads and the check for stale listings": {
    size: TWO_PUBLISHERS,
    readAcceptedFirst: false,
    rejectStaleListings: false,
  },
  "the comparison of generations": {
    size: ONE_HOST,
    rejectOlderGenerations: false,
  },
};

for (const [disabled, incomplete] of Object.entries(incompleteConfigurations)) {
  const { size, ...change } = incomplete;
  test(`configuration without ${disabled} reverts`, (t) => {
    const safeguards = { ...ALL_CONFIGURATION_SAFEGUARDS, ...change };
    const { violation } = explore(
      createConfigurationSpecification(size, safeguards),
    );
    t.assert.snapshot(violation ?? "no violation");
    assert.ok(violation !== undefined);
  });
}
