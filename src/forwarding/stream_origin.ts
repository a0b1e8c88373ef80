/**
 * Keeps a stream at the software version that wrote its first event, over all
 * sends of one request and all attempts of its caller.
 */
import { incarnationOf } from "../routes/incarnation.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import type { ResolvedOrigin } from "../stream_origins/types.ts";
import { StartCheck } from "../stream_origins/start_check.ts";
import { UNKNOWN, UNNAMED } from "../stream_origins/version_history.ts";
import { type Rejection, VERSION_GONE, VERSION_UNKNOWN } from "./rejection.ts";
import type { RelayResult } from "./relay.ts";
import type { RunContext } from "./run_context.ts";

/** Time that a request may have been on its way to this host. */
const AGE_MARGIN_MS = 1_000;
/** Shorter than any start of an endpoint takes. */
const MIN_START_MS = 250;

/**
 * Records which version wrote the first event that the caller gets. Events of a
 * route that can't be resumed are never followed by those of another endpoint.
 */
export function recordStreamOrigin(
  context: RunContext,
  endpoint: RouteEndpoint,
): void {
  if (!context.admitted.route.resumable) return;
  if (context.streamVersion !== undefined) return;
  context.streamVersion = endpoint.software_version ?? UNNAMED;
  context.firstEventFrom = endpoint;
  const { streamOrigins } = context.dependencies;
  streamOrigins.recordFirstEvent(context.streamKey, endpoint);
}

/**
 * Corrects the version of a stream that broke off, if its endpoint has started
 * again and events came after this host learned of that: a start breaks all
 * connections, so the new incarnation wrote the stream, and the entry was behind
 * when the request was sent.
 */
function correctStreamOrigin(
  context: RunContext,
  { last_event_ms = -Infinity }: RelayResult,
  sentTo: RouteEndpoint,
): void {
  if (context.firstEventFrom !== sentTo) return;
  const { streamOrigins, log } = context.dependencies;
  const current = streamOrigins.incarnationOf(sentTo.id);
  if (current === undefined || last_event_ms < current.known_since_ms) return;
  if (incarnationOf(current.endpoint) === incarnationOf(sentTo)) return;
  log.info({
    event: "stream_version_corrected",
    attempt: context.admitted.metadata.attempt_id,
    endpoint: sentTo.id,
    believed: context.streamVersion,
    version: current.endpoint.software_version,
  });
  context.streamVersion = undefined;
  recordStreamOrigin(context, current.endpoint);
}

/**
 * Forgets a stream that its caller has whole, as nobody will resume it. Checks
 * the version of one that broke off.
 */
export function recordStreamEnd(
  context: RunContext,
  relayed: RelayResult,
  sentTo: RouteEndpoint,
): void {
  context.last_event_ms = relayed.last_event_ms ?? context.last_event_ms;
  if (relayed.complete && relayed.delivered) {
    context.dependencies.streamOrigins.forget(context.streamKey);
  } else {
    correctStreamOrigin(context, relayed, sentTo);
  }
}

/**
 * Makes sure, before a stream that broke off goes on anywhere, that its first event
 * is of the version that its endpoint's entry named. If the endpoint has started
 * again though it has just sent an event, it wrote the stream since: a start takes
 * longer. Of a stream that hung before it broke off this says nothing.
 */
export async function confirmStreamOrigin(context: RunContext): Promise<void> {
  const { firstEventFrom, last_event_ms, dependencies } = context;
  const { streamOrigins, checkStart, log, now } = dependencies;
  if (firstEventFrom === undefined) return;
  if (now() - last_event_ms > MIN_START_MS) return;
  const current = streamOrigins.incarnationOf(firstEventFrom.id);
  const isKnown = current !== undefined &&
    incarnationOf(current.endpoint) === incarnationOf(firstEventFrom);
  if (!isKnown) return;
  if (await checkStart(firstEventFrom) !== StartCheck.Restarted) return;
  log.info({
    event: "stream_version_unknown",
    attempt: context.admitted.metadata.attempt_id,
    endpoint: firstEventFrom.id,
    believed: context.streamVersion,
  });
  context.streamVersion = UNKNOWN;
  streamOrigins.recordUnknown(context.streamKey, firstEventFrom.pool);
}

/**
 * Whether an endpoint still runs the software that its entry names, as far as a
 * stream that goes on there must know.
 */
export async function isAtStreamVersion(
  context: RunContext,
  endpoint: RouteEndpoint,
): Promise<boolean> {
  const { streamVersion, dependencies } = context;
  const { checkStart, log } = dependencies;
  if (streamVersion === undefined) return true;
  const check = await checkStart(endpoint);
  if (check === StartCheck.Same || check === StartCheck.Unknown) return true;
  log.info({
    event: "endpoint_passed_over",
    attempt: context.admitted.metadata.attempt_id,
    endpoint: endpoint.id,
    believed: endpoint.software_version,
    check,
  });
  return false;
}

/**
 * Finds the version at which a resumed stream must go on. Resolves to a rejection
 * if it can't: without the version, and without an endpoint that has it.
 */
export async function resolveStreamOrigin(
  context: RunContext,
): Promise<Rejection | undefined> {
  const { metadata, route } = context.admitted;
  if (!route.resumable) return undefined;
  recordDeadline(context);
  if (metadata.last_event_id === undefined) return undefined;
  const { streamOrigins, log, metrics } = context.dependencies;
  const max_age_ms = maxAgeMs(context);
  const origin = await streamOrigins.resolve({
    key: metadata.resumed_attempt_id === undefined
      ? undefined
      : context.streamKey,
    pools: route.pools.map(({ pool }) => pool),
    max_age_ms,
  });
  context.pool = origin?.pool ?? context.pool;
  context.streamVersion = origin?.version;
  const mayGoOn = route.pools.some(({ pool }) => pool === origin?.pool);
  const endpoints = mayGoOn ? context.readyEndpoints().length : 0;
  const rejection = rejectionOf(origin, endpoints);
  const outcome = rejection?.reason ?? "goes_on";
  log.info({
    event: "stream_resumed",
    attempt: metadata.attempt_id,
    resumes: metadata.resumed_attempt_id,
    pool: context.pool,
    version: origin?.version,
    source: origin?.source,
    max_age_ms: Math.round(max_age_ms),
    endpoints,
    outcome,
  });
  metrics.resumedStreams.inc({ outcome, source: origin?.source ?? "none" });
  return rejection;
}

function rejectionOf(
  origin: ResolvedOrigin,
  endpoints: number,
): Rejection | undefined {
  if (origin === undefined) return VERSION_UNKNOWN;
  return endpoints === 0 ? VERSION_GONE : undefined;
}

function recordDeadline({ admitted, dependencies }: RunContext): void {
  const { route, metadata } = admitted;
  const { streamOrigins, now } = dependencies;
  const { deadline_ms = 0 } = metadata;
  streamOrigins.deadlines.record(route.name, deadline_ms, now());
}

/** The longest time since the caller can have sent its first attempt. */
function maxAgeMs({ admitted, inbound, dependencies }: RunContext): number {
  const { route, metadata } = admitted;
  const { streamOrigins, now } = dependencies;
  const { deadline_ms = 0 } = metadata;
  // Callers may wait for longer than the route's timeout.
  const longest_ms = Math.max(
    route.timeout_ms,
    streamOrigins.deadlines.longest(route.name, now()),
  );
  const limit_ms = deadline_ms > route.timeout_ms
    ? Math.max(longest_ms, 2 * deadline_ms)
    : longest_ms;
  const elapsed_ms = now() - inbound.arrived_ms;
  return limit_ms - deadline_ms + elapsed_ms + AGE_MARGIN_MS;
}
