/**
 * The last check before a request goes to an endpoint: nothing is sent to a zone
 * that is evacuated by then, whatever was decided before.
 */
import { ENDPOINT_UNAVAILABLE } from "../endpoints/endpoint_agents.ts";
import { ExchangeOutcome, type ExchangeResult } from "../endpoints/exchange.ts";
import type { SendToEndpoint } from "../relaying/endpoint_sender.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ZoneExchanges } from "./zone_exchanges.ts";

/** What decides whether a request may be sent. */
export interface SendGuard {
  /** Whether what is known of evacuations is not too old. */
  readonly isConfirmed: boolean;
  /** Resolves once it is recent enough, or nobody can confirm it in time. */
  confirmed(): Promise<void>;
  /** Whether nothing may be sent to an endpoint. */
  isEvacuated(endpoint: RouteEndpoint): boolean;
}

/** Dependencies of a guarded sender. */
export interface GuardedSenderOptions {
  guard: SendGuard;
  exchanges: ZoneExchanges;
  /** Called when a request was not sent. */
  onStopped: () => void;
}

const EVACUATED: ExchangeResult = {
  kind: ExchangeOutcome.NotSent,
  reason: ENDPOINT_UNAVAILABLE,
};

/** Wraps the function by which requests go to endpoints. */
export function createGuardedSender(
  send: SendToEndpoint,
  { guard, exchanges, onStopped }: GuardedSenderOptions,
): SendToEndpoint {
  return async (endpoint, formRequest, permit) => {
    if (endpoint === undefined) return await send(endpoint, formRequest);
    if (!guard.isConfirmed) await guard.confirmed();
    if (guard.isEvacuated(endpoint)) {
      onStopped();
      return EVACUATED;
    }
    const end = exchanges.begin(endpoint.availability_zone);
    const formGuarded = () => ({
      ...formRequest(),
      mayBegin: () => guard.isConfirmed && !guard.isEvacuated(endpoint),
    });
    let isAnswered = false;
    try {
      const result = await send(endpoint, formGuarded, permit);
      if (result.kind === ExchangeOutcome.ResponseReceived) {
        isAnswered = true;
        result.response.body.once("close", end);
      }
      return result;
    } finally {
      if (!isAnswered) end();
    }
  };
}
