import assert from "node:assert/strict";
import { test } from "node:test";
import { EndpointSilence } from "../../src/endpoints/endpoint_silence.ts";

test("an endpoint that says nothing for a second or so may be sound", () => {
  const silence = new EndpointSilence();
  silence.recordAnswer(100);
  assert.equal(silence.recordTimeout(200, 800), true);
  assert.equal(silence.recordTimeout(250, 850), true);
  assert.equal(silence.recordTimeout(900, 1_500), true);
});

test("one that says nothing for longer is not, until it answers", () => {
  const silence = new EndpointSilence();
  assert.equal(silence.recordTimeout(0, 600), true);
  assert.equal(silence.recordTimeout(1_200, 1_800), false);
  assert.equal(silence.recordTimeout(2_000, 2_600), false);
  silence.recordAnswer(2_700);
  assert.equal(silence.recordTimeout(2_800, 3_400), true);
});

test("one that answers other requests meanwhile was not silent", () => {
  const silence = new EndpointSilence();
  silence.recordAnswer(500);
  assert.equal(silence.recordTimeout(0, 600), false);
});
