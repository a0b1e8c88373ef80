/** A small deployment whose hosts read evacuations, for tests. */
import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { sendJsonRequest } from "../../stand_ins/json_client.ts";
import {
  ApiKey,
  GatewayFleet,
  type GatewayFleetOptions,
  type RunningGateway,
  type Service,
  waitUntil,
} from "../../stand_ins/deployment/gateway_fleet.ts";

/** `evacuations.in_force_ms` of the hosts. */
export const IN_FORCE_MS = 2_000;
/** The store kind of evacuations. */
export const KIND = "evacuations";
let attempts = 0;

/** Starts a fleet that stops with the test. */
export async function startFleet(
  t: TestContext,
  options: GatewayFleetOptions = {},
): Promise<GatewayFleet> {
  const fleet = new GatewayFleet({ in_force_ms: IN_FORCE_MS, ...options });
  t.after(() => fleet.stop());
  await fleet.start();
  return fleet;
}

/** Sends a request to a host. */
export function call(
  { callers }: RunningGateway,
  path: string,
  headers: Record<string, string> = {},
) {
  return sendJsonRequest(callers, path, {
    method: "POST",
    text: "x",
    headers: {
      host: "fleet.example",
      "x-attempt-id": `evacuated-${attempts++}`,
      "x-key": ApiKey.Docks,
      "x-deadline-ms": "1500",
      ...headers,
    },
  });
}

/** The first host. */
export function firstGateway(fleet: GatewayFleet): RunningGateway {
  const [gateway] = fleet.gateways;
  assert.ok(gateway !== undefined);
  return gateway;
}

/** Requests that an engine has received. */
export function receivedBy(
  fleet: GatewayFleet,
  service: Service,
  index: number,
) {
  return fleet.engine(service, index).receivedRequests.length;
}

/** Waits until every host has written a line with a text. */
export async function waitForLine(
  fleet: GatewayFleet,
  text: string,
): Promise<void> {
  await waitUntil(() =>
    fleet.gateways.every(({ logLines }) =>
      logLines.some((line) => line.includes(text))
    )
  );
}
