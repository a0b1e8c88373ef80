/**
 * Ejects failing endpoints as the statechart endpoint_health defines: an
 * endpoint is ejected after several consecutive failures, for a time that
 * doubles up to a limit, and then gets a single call as a probe.
 */
import { createChart } from "../charts/chart.ts";

/** Health of one endpoint as observed by this host. */
export interface Health {
  state: HealthState;
  /** Consecutive failures. */
  failures: number;
  /** Ejections since the last success. */
  ejections: number;
  /** End of the last ejection; a probe is due from then on. */
  ejected_until_ms: number;
}

/** States of the statechart endpoint_health. */
export enum HealthState {
  Healthy = "healthy",
  Ejected = "ejected",
  Probing = "probing",
}

enum HealthEvent {
  Success = "SUCCESS",
  Failure = "FAILURE",
  ProbeDue = "PROBE_DUE",
}

/** Consecutive failures after which an endpoint is ejected. */
const MIN_FAILURES_TO_EJECT = 4;
/** Duration of the first ejection since the last success. */
const INITIAL_EJECTION_MS = 500;
/** The duration doubles with each further ejection, at most this many times. */
const MAX_EJECTION_DOUBLINGS = 4;

const chart = createChart<Health>("endpoint_health", {
  tooManyFailures: (health) => health.failures >= MIN_FAILURES_TO_EJECT,
});

/** The initial health of an endpoint. */
export function createHealth(): Health {
  return {
    state: HealthState.Healthy,
    failures: 0,
    ejections: 0,
    ejected_until_ms: 0,
  };
}

/** Records a call's result; ejects the endpoint if it fails too often. */
export function recordCallResult(
  health: Health,
  call: { succeeded: boolean; now_ms: number },
): void {
  if (call.succeeded) return recordSuccess(health);
  health.failures += 1;
  const before = health.state;
  health.state = step(health, HealthEvent.Failure);
  if (health.state !== HealthState.Ejected) return;
  if (before === HealthState.Ejected) return;
  const doublings = Math.min(health.ejections, MAX_EJECTION_DOUBLINGS);
  health.ejected_until_ms = call.now_ms + INITIAL_EJECTION_MS * 2 ** doublings;
  health.ejections += 1;
}

/** Whether the endpoint may get a call now: it is healthy or a probe is due. */
export function isUsable(health: Health, now_ms: number): boolean {
  if (health.state === HealthState.Healthy) return true;
  return health.state === HealthState.Ejected &&
    now_ms >= health.ejected_until_ms;
}

/** Marks an ejected endpoint as being probed by the next call. */
export function startProbeIfEjected(health: Health): void {
  if (health.state !== HealthState.Ejected) return;
  health.state = step(health, HealthEvent.ProbeDue);
}

function recordSuccess(health: Health): void {
  health.state = step(health, HealthEvent.Success);
  health.failures = 0;
  health.ejections = 0;
}

function step(health: Health, event: HealthEvent): HealthState {
  return chart.next(health.state, event, health) as HealthState;
}
