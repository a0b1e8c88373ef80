/** Which responses are taken for the answer to the request that was sent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { deploymentCodec } from "../../platform/codec.ts";
import {
  originOf,
  ResponseOrigin,
} from "../../src/forwarding/response_origin.ts";

const SENT = "sent";
const OWN_ID = ["X-Attempt-Id", SENT];
const OTHER_ID = ["X-Attempt-Id", "other"];
const SIGNATURE = ["X-Response-Signature", "s"];
const NOT_EXECUTED = ["X-Not-Executed", "1"];
const ERROR_STATUSES = [307, 400, 404, 409, 421, 429, 500, 503];

function origin(
  status: number,
  headers: string[],
  first_on_connection: boolean,
): ResponseOrigin {
  const metadata = deploymentCodec.decodeResponse(status, headers);
  return originOf({ status, metadata, first_on_connection }, SENT);
}

test("a success needs the id and a signature, and must have run", () => {
  for (const first of [true, false]) {
    const { Own, Foreign } = ResponseOrigin;
    assert.equal(origin(200, [...OWN_ID, ...SIGNATURE], first), Own);
    assert.equal(origin(200, OWN_ID, first), Foreign);
    assert.equal(origin(200, SIGNATURE, first), Foreign);
    assert.equal(origin(200, [...OTHER_ID, ...SIGNATURE], first), Foreign);
    assert.equal(
      origin(200, [...OWN_ID, ...SIGNATURE, ...NOT_EXECUTED], first),
      Foreign,
    );
  }
});

test("a failure or refusal without the id is only known by a new connection", () => {
  for (const status of ERROR_STATUSES) {
    for (const refusal of [[], NOT_EXECUTED]) {
      for (const first of [true, false]) {
        assert.equal(
          origin(status, [...OWN_ID, ...refusal], first),
          ResponseOrigin.Own,
        );
        assert.equal(
          origin(status, [...OTHER_ID, ...refusal], first),
          ResponseOrigin.Foreign,
        );
        assert.equal(
          origin(status, refusal, first),
          first ? ResponseOrigin.Own : ResponseOrigin.Unidentified,
        );
      }
    }
  }
});
