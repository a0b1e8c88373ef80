/**
 * Orders model engines to load the desired model of their pool's record. The
 * last order to each engine is stored on the platform, in the engine's ledger.
 * One host is responsible for each pool, to save work only: conditional writes
 * to the ledgers prevent conflicts if two hosts act.
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

/** Dependencies of the placement loop. */
export interface PlacementOptions {
  configuration: ConfigurationState;
  platform: Platform;
  /** Whether this host currently reconciles a pool. */
  isResponsibleFor: (pool: string) => boolean;
  log: Logger;
  signal: AbortSignal;
}

/** Time between two checks of all pools. */
const CHECK_INTERVAL_MS = 1_000;
/** Timeout of a call to an engine. */
const CALL_TIMEOUT_MS = 1_000;
/**
 * Engines of a pool that load a model at the same time; bounds the load on the
 * store that they read model weights from.
 */
const MAX_LOADING_ENGINES = 2;
const STATE_PATH = "/admin/state";
const ORDER_PATH = "/admin/order";

/** Reconciles this host's pools regularly until the signal aborts. */
export async function runPlacement(options: PlacementOptions): Promise<void> {
  const { configuration, signal } = options;
  while (!signal.aborted) {
    for (const pool of configuration.records.pools.values()) {
      if (pool.desired_model === undefined) continue;
      if (options.isResponsibleFor(formatIdentity(pool))) {
        await reconcilePool(pool, pool.desired_model, options);
      }
    }
    await abortableDelay(CHECK_INTERVAL_MS, signal);
  }
}

async function reconcilePool(
  pool: EndpointPool,
  desired_model: string,
  options: PlacementOptions,
): Promise<void> {
  const key = formatIdentity(pool);
  let loading = 0;
  const { endpointsByPool } = options.configuration.records;
  for (const endpoint of endpointsByPool.get(key) ?? []) {
    const { evacuatedZones } = options.configuration.records;
    if (evacuatedZones.has(endpoint.availability_zone)) continue;
    if (loading >= MAX_LOADING_ENGINES) return;
    const observed = await fetchEngineState(endpoint);
    if (observed === undefined) continue;
    const orderSent = await reconcileEngine(
      { endpoint, observed, desired_model },
      options,
    );
    if (orderSent || observed.loading) loading += 1;
  }
}

interface EngineCheck {
  endpoint: Endpoint;
  observed: EngineState;
  desired_model: string;
}

/** Takes the next action for one engine; true if an order was sent. */
async function reconcileEngine(
  check: EngineCheck,
  options: PlacementOptions,
): Promise<boolean> {
  const { endpoint, observed, desired_model } = check;
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
    : nextOrder(ledger, desired_model, {
      observed_fencing: observed.fencing,
    });
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

async function fetchEngineState(
  endpoint: Endpoint,
): Promise<EngineState | undefined> {
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
    const response = await client.send({
      ...call,
      timeout_ms: CALL_TIMEOUT_MS,
    });
    return response.status === 200 ? response.body : undefined;
  } catch {
    return undefined;
  } finally {
    client.close();
  }
}
