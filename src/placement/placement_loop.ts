/**
 * Keeps engines at the model that their pool's record asks for. One host looks
 * after a pool, by preference only; the ledger on the platform decides.
 */
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import type { Platform, PlatformObject } from "../object_api/types.ts";
import {
  type Endpoint,
  type EndpointPool,
  formatIdentity,
} from "../records/types.ts";
import { parseAddress } from "../settings/settings.ts";
import { HttpClient } from "../utils/http_client.ts";
import { abortableDelay } from "../utils/delay.ts";
import { nextOrder, planOrder } from "./plan_order.ts";
import {
  type EngineState,
  OrderAction,
  type OrderLedger,
  OrderState,
  parseEngineState,
} from "./types.ts";

/** What the loop needs. */
export interface PlacementOptions {
  configuration: ConfigurationState;
  platform: Platform;
  /** Whether this host looks after a pool now. */
  looksAfter: (pool: string) => boolean;
  log: Logger;
  signal: AbortSignal;
}

const LOOK_EVERY_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
/** Engines of a pool that may load at once, for the weight store's sake. */
const MOST_LOADING = 2;
const STATE_PATH = "/admin/state";
const ORDER_PATH = "/admin/order";

/** Looks after placements until the signal fires. */
export async function runPlacement(options: PlacementOptions): Promise<void> {
  const { configuration, signal } = options;
  while (!signal.aborted) {
    for (const pool of configuration.records.pools.values()) {
      if (pool.desired_model === undefined) continue;
      if (options.looksAfter(formatIdentity(pool))) {
        await placePool(pool, pool.desired_model, options);
      }
    }
    await abortableDelay(LOOK_EVERY_MS, signal);
  }
}

async function placePool(
  pool: EndpointPool,
  desired_model: string,
  options: PlacementOptions,
): Promise<void> {
  const key = formatIdentity(pool);
  const { endpointsByPool } = options.configuration.records;
  let loading = 0;
  for (const endpoint of endpointsByPool.get(key) ?? []) {
    if (loading >= MOST_LOADING) return;
    const observed = await observe(endpoint);
    if (observed === undefined) continue;
    const sent = await stepEngine(
      { endpoint, observed, desired_model },
      options,
    );
    if (sent || observed.loading) loading += 1;
  }
}

interface EngineLook {
  endpoint: Endpoint;
  observed: EngineState;
  desired_model: string;
}

/** Does the next thing about one engine; true if an order was sent. */
async function stepEngine(
  look: EngineLook,
  options: PlacementOptions,
): Promise<boolean> {
  const { endpoint, observed, desired_model } = look;
  const key = `orders/${formatIdentity(endpoint)}`;
  const found = await options.platform.get(key);
  if (!found.ok) return false;
  const ledger = found.value?.value as OrderLedger | undefined;
  const { checks_fencing } = endpoint;
  const action = planOrder({ desired_model, ledger, observed, checks_fencing });
  if (action === OrderAction.Nothing) return false;
  options.log.info({
    event: "placement",
    endpoint: formatIdentity(endpoint),
    action,
    desired_model,
    observed_model: observed.model,
    loading: observed.loading,
    fencing: ledger?.fencing ?? 0,
    checks_fencing,
  });
  if (action === OrderAction.Send && ledger !== undefined) {
    return await sendOrder(endpoint, ledger);
  }
  const next = action === OrderAction.Settle && ledger !== undefined
    ? { ...ledger, state: OrderState.Settled }
    : nextOrder(ledger, desired_model);
  const written = await writeLedger(options.platform, found.value, {
    key,
    next,
  });
  if (!written || next.state === OrderState.Settled) return false;
  return await sendOrder(endpoint, next);
}

async function writeLedger(
  platform: Platform,
  current: PlatformObject | undefined,
  { key, next }: { key: string; next: OrderLedger },
): Promise<boolean> {
  const condition = current === undefined
    ? { absent: true as const }
    : { version: current.version };
  return (await platform.put(key, next, condition)).ok;
}

async function observe(endpoint: Endpoint): Promise<EngineState | undefined> {
  const text = await callEngine(endpoint, { method: "GET", path: STATE_PATH });
  try {
    return text === undefined ? undefined : parseEngineState(text);
  } catch {
    return undefined;
  }
}

async function sendOrder(
  endpoint: Endpoint,
  { fencing, model }: OrderLedger,
): Promise<boolean> {
  const body = JSON.stringify({ fencing, model });
  const call = { method: "POST", path: ORDER_PATH, body };
  return await callEngine(endpoint, call) !== undefined;
}

async function callEngine(
  endpoint: Endpoint,
  call: { method: string; path: string; body?: string },
): Promise<string | undefined> {
  const client = new HttpClient(parseAddress(endpoint.address));
  try {
    const answer = await client.send({ ...call, timeout_ms: CALL_TIMEOUT_MS });
    return answer.status === 200 ? answer.body : undefined;
  } catch {
    return undefined;
  } finally {
    client.close();
  }
}
