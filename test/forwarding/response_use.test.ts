/** What becomes of a response, given what the caller already has. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ResponseUse, useOf } from "../../src/forwarding/response_use.ts";

const STATUSES = [200, 201, 204, 206, 301, 307, 400, 404, 409, 429, 500, 503];

test("before the first bytes, a success typed as a stream is relayed as one", () => {
  for (const status of STATUSES) {
    for (const stream of [true, false]) {
      for (const streaming of [true, false]) {
        const head = { status, stream, encoded: false };
        const isStream = status < 300 && stream && streaming;
        assert.equal(
          useOf(head, { streaming, sent_status: undefined }),
          isStream ? ResponseUse.Stream : ResponseUse.Whole,
        );
      }
    }
  }
});

test("after them, only a plain stream with the same status may follow", () => {
  for (const status of STATUSES) {
    for (const stream of [true, false]) {
      for (const encoded of [true, false]) {
        const mayFollow = status === 200 && stream && !encoded;
        assert.equal(
          useOf({ status, stream, encoded }, {
            streaming: true,
            sent_status: 200,
          }),
          mayFollow ? ResponseUse.Stream : ResponseUse.None,
        );
      }
    }
  }
});
