/**
 * Admission control. A request that is not expected to finish before its
 * deadline is rejected at once, before anything is sent to an endpoint for it.
 */
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import { Reason } from "../pipelines/outcome.ts";
import type {
  Admission,
  AdmissionDecision,
} from "../pipelines/pipeline_dependencies.ts";
import type { PipelineRequest } from "../pipelines/pipeline_request.ts";
import { formatIdentity, type Stage } from "../records/types.ts";
import type { Allowances } from "./allowances.ts";
import { AdmissionPolicy } from "./types.ts";
import type { WorkClass } from "./admitted_backlog.ts";
import type { Permit, PoolLimiter } from "./pool_limiter.ts";
import type { PoolLimiters } from "./pool_limiters.ts";

/** Dependencies and settings of the admission controller. */
export interface AdmissionOptions {
  configuration: ConfigurationState;
  limiters: PoolLimiters;
  allowances: Allowances;
  policy: AdmissionPolicy;
  /** Whether this host accepts new requests. */
  acceptsRequests: () => boolean;
  /** Number of hosts that accept new requests. */
  servingHosts: () => number;
  log: Logger;
  /** Clock of the requests' deadlines, in milliseconds. */
  now: () => number;
}

/** Factor on the estimated wait, because actual waits vary around it. */
const WAIT_SAFETY_FACTOR = 1.15;
const MIN_RETRY_AFTER_MS = 100;
const DRAINING_RETRY_AFTER_MS = 1_000;

const drainingDecision: AdmissionDecision = {
  admitted: false,
  reason: Reason.Draining,
  message: "This host takes no new requests",
  retry_after_ms: DRAINING_RETRY_AFTER_MS,
};

/** Admits or rejects new requests and hands out permits for calls to pools. */
export class AdmissionController implements Admission {
  readonly #options: AdmissionOptions;
  /** Requests that exceeded their organisation's allowance. */
  #overAllowance = new WeakSet<PipelineRequest>();
  /** Limiters that each admitted request has yet to get a permit from. */
  #pendingLimiters = new Map<PipelineRequest, PoolLimiter[]>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Decides at once whether the request is expected to meet its deadline. */
  decide(request: PipelineRequest): AdmissionDecision {
    const { now, allowances, acceptsRequests, log } = this.#options;
    if (!acceptsRequests()) return drainingDecision;
    const now_ms = now();
    const withinAllowance = allowances.tryTake(request.organisation, now_ms);
    if (!withinAllowance) this.#overAllowance.add(request);
    const estimate = this.#estimateTimes(request);
    const remaining_ms = request.deadline_ms - now_ms;
    const admitted = estimate.total_ms <= remaining_ms;
    log.info({
      event: "admission",
      request_id: request.request_id,
      organisation: formatIdentity(request.organisation),
      pipeline: formatIdentity(request.pipeline),
      rank: request.rank.name,
      within_allowance: withinAllowance,
      wait_ms: Math.round(estimate.wait_ms),
      expected_ms: Math.round(estimate.total_ms),
      remaining_ms: Math.round(remaining_ms),
      result: admitted ? "admitted" : Reason.DeadlineTooShort,
    });
    const enforcesDeadlines = this.#options.policy === AdmissionPolicy.Ranked;
    if (admitted || !enforcesDeadlines) {
      this.#addToBacklogs(request);
      return { admitted: true };
    }
    return {
      admitted: false,
      reason: Reason.DeadlineTooShort,
      message: `The request is expected to take ${
        Math.round(estimate.total_ms)
      } ms and ${Math.round(remaining_ms)} ms remain`,
      retry_after_ms: Math.max(MIN_RETRY_AFTER_MS, estimate.wait_ms),
    };
  }

  /**
   * Waits for a permit for the stage's pool; rejects with WaitAborted if the
   * request's signal is aborted.
   */
  async acquire(
    request: PipelineRequest,
    call: { stage: Stage; started: boolean },
  ): Promise<Permit> {
    const limiter = this.#limiterFor(call.stage);
    const workClass = this.#workClassOf(request);
    const permit = await limiter.acquire({
      request_id: request.request_id,
      ...workClass,
      organisation: formatIdentity(request.organisation),
      weight: request.organisation.requests_per_second,
      started: call.started,
      deadline_ms: request.deadline_ms,
    }, request.signal);
    this.#removeFromBacklog(request, limiter);
    return permit;
  }

  /** Records the duration of a completed call, for later estimates. */
  recordServiceTime(stage: Stage, elapsed_ms: number): void {
    this.#limiterFor(stage).recordServiceTime(elapsed_ms);
  }

  /** Removes a request that has ended from all backlogs. */
  finish(request: PipelineRequest): void {
    const workClass = this.#workClassOf(request);
    for (const limiter of this.#pendingLimiters.get(request) ?? []) {
      limiter.removeFromBacklog(workClass);
    }
    this.#pendingLimiters.delete(request);
  }

  #addToBacklogs(request: PipelineRequest): void {
    const workClass = this.#workClassOf(request);
    const limiters = request.pipeline.stages.map((stage) =>
      this.#limiterFor(stage)
    );
    for (const limiter of limiters) limiter.addToBacklog(workClass);
    this.#pendingLimiters.set(request, limiters);
  }

  #removeFromBacklog(request: PipelineRequest, limiter: PoolLimiter): void {
    const limiters = this.#pendingLimiters.get(request) ?? [];
    const position = limiters.indexOf(limiter);
    if (position < 0) return;
    limiters.splice(position, 1);
    limiter.removeFromBacklog(this.#workClassOf(request));
  }

  #workClassOf(request: PipelineRequest): WorkClass {
    return {
      rank: formatIdentity(request.rank),
      priority: request.rank.priority,
      over_allowance: this.#overAllowance.has(request),
      guaranteed_share: request.rank.guaranteed_share,
    };
  }

  #estimateTimes(
    request: PipelineRequest,
  ): { wait_ms: number; total_ms: number } {
    const workClass = this.#workClassOf(request);
    let wait_ms = 0;
    let service_ms = 0;
    for (const stage of request.pipeline.stages) {
      const limiter = this.#limiterFor(stage);
      service_ms += limiter.service_ms;
      wait_ms += limiter.estimateWaitMs(workClass);
    }
    return { wait_ms, total_ms: wait_ms * WAIT_SAFETY_FACTOR + service_ms };
  }

  #limiterFor(stage: Stage): PoolLimiter {
    const { configuration, limiters, servingHosts } = this.#options;
    return limiters.limiterFor(formatIdentity(stage.pool), {
      records: configuration.records,
      live_hosts: servingHosts(),
    });
  }
}
