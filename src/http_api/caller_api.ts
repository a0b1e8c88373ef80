/**
 * HTTP API for callers: pipeline requests, idempotency keys, outcomes, health.
 */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseIdempotencyKey } from "../claims/idempotency_key.ts";
import type { KeyClaims } from "../claims/claims.ts";
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";
import { KeyStatusKind } from "../pipelines/pipeline_dependencies.ts";
import {
  AbortReason,
  type PipelineRequest,
} from "../pipelines/pipeline_request.ts";
import { failureFromAbort } from "../pipelines/run_failure.ts";
import { formatIdentity } from "../records/types.ts";
import { waitForResponseClose } from "../utils/wait_for_response_close.ts";
import { sendOutcome, StreamResponse } from "./outcome_response.ts";
import {
  faultProblem,
  type Problem,
  RequestError,
  RequestFault,
  sendProblem,
} from "./problem.ts";
import {
  readOrganisation,
  readRequestBody,
  readTerms,
  type RequestBody,
  type RequestTerms,
} from "./read_request.ts";
import { matchRoute, RouteName } from "./routes.ts";
import type { CallerExchange, ForwardToMinter } from "./forward_to_minter.ts";
import type { RunningRequests } from "./running_requests.ts";

/** Dependencies and limits of the API. */
export interface CallerApiOptions {
  configuration: ConfigurationState;
  claims: KeyClaims;
  running: RunningRequests;
  run: (request: PipelineRequest) => Promise<Outcome>;
  /** Whether new requests are accepted. */
  acceptsRequests: () => boolean;
  /** Whether the load balancer should send requests to this host. */
  isReady: () => boolean;
  /** Forwards a request to the host that minted its key, if that is another. */
  forwardToMinter: ForwardToMinter;
  limits: { body_bytes: number; deadline_ms: number };
  log: Logger;
  now: () => number;
}

/**
 * Time after the deadline for a run with an idempotency key to report its own
 * outcome, before the caller is told that the outcome is unknown.
 */
const DEADLINE_OUTCOME_GRACE_MS = 50;
/** Retry delay for callers whose request with a key is still running. */
const UNDECIDED_RETRY_AFTER_MS = 1_000;

/** Request handler of the API. */
export class CallerApi {
  readonly #options: CallerApiOptions;

  constructor(options: CallerApiOptions) {
    this.#options = options;
  }

  /** Handles one HTTP request; never rejects. */
  handle = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    try {
      await this.#dispatch({ request, response });
    } catch (error) {
      this.#respondWithError(response, error);
    }
  };

  async #dispatch(exchange: CallerExchange): Promise<void> {
    const { request, response } = exchange;
    const route = matchRoute(request.method ?? "", request.url ?? "");
    switch (route.name) {
      case RouteName.Health:
        return sendJson(response, 200, { status: "alive" });
      case RouteName.Ready: {
        const ready = this.#options.isReady();
        return sendJson(response, ready ? 200 : 503, { ready });
      }
      case RouteName.MintKey:
        return this.#mintKey(exchange);
      case RouteName.Outcome:
        return await this.#lookUpOutcome(exchange, route.key);
      case RouteName.Run:
        return await this.#runPipeline(exchange, route);
    }
  }

  #mintKey({ request, response }: CallerExchange): void {
    const { configuration, claims } = this.#options;
    const organisation = readOrganisation(request, configuration.records);
    const key = claims.mint(formatIdentity(organisation));
    sendJson(response, 201, { idempotency_key: key });
  }

  async #lookUpOutcome(
    { request, response }: CallerExchange,
    keyText: string,
  ): Promise<void> {
    const { configuration, claims } = this.#options;
    const organisation = readOrganisation(request, configuration.records);
    const key = parseIdempotencyKey(keyText);
    if (key === undefined) {
      throw new RequestError(RequestFault.BadKey, "The key has no known form");
    }
    const keyStatus = await claims.checkParsedKey(
      formatIdentity(organisation),
      key,
    );
    switch (keyStatus.kind) {
      case KeyStatusKind.Recorded:
        return sendOutcome(response, keyStatus.outcome, keyText);
      case KeyStatusKind.Unused:
      case KeyStatusKind.InUse:
        throw new RequestError(
          RequestFault.NotFound,
          "No outcome is recorded for this key",
        );
      case KeyStatusKind.Unavailable:
        return sendJson(response, 503, {
          title: "Platform unavailable",
          status: 503,
        });
    }
  }

  async #runPipeline(
    exchange: CallerExchange,
    route: { fleet: string; identity: string },
  ): Promise<void> {
    const arrived_ms = this.#options.now();
    const { configuration, limits } = this.#options;
    const terms = readTerms(exchange.request, {
      records: configuration.records,
      ...route,
      most_deadline_ms: limits.deadline_ms,
    });
    const body = await readRequestBody(exchange.request, limits.body_bytes);
    const { forwardToMinter } = this.#options;
    if (await forwardToMinter(exchange, { terms, body })) return;
    const request_id = randomUUID();
    if (!this.#options.acceptsRequests()) {
      exchange.response.setHeader("connection", "close");
    }
    await this.#runAndRespond(exchange, {
      terms,
      body,
      request_id,
      arrived_ms,
    });
  }

  async #runAndRespond(
    { response }: CallerExchange,
    requestData: {
      terms: RequestTerms;
      body: RequestBody;
      request_id: string;
      arrived_ms: number;
    },
  ): Promise<void> {
    const { terms, body, request_id, arrived_ms } = requestData;
    const { running, run } = this.#options;
    const stream = body.stream ? new StreamResponse(response) : undefined;
    const runningRequest = running.start(terms.remaining_ms);
    const onClose = () => {
      if (!response.writableFinished) {
        runningRequest.abort(AbortReason.CallerGone);
      }
    };
    response.once("close", onClose);
    const key = claimedKey(terms);
    const outcomePromise = run({
      request_id,
      organisation: terms.organisation,
      pipeline: terms.pipeline,
      rank: terms.rank,
      input: body.input,
      arrived_ms,
      deadline_ms: arrived_ms + terms.remaining_ms,
      non_idempotent: terms.non_idempotent,
      idempotency_key: key,
      signal: runningRequest.signal,
      stop_signal: runningRequest.stop_signal,
      sendText: stream?.sendText,
    });
    try {
      const outcome = key === undefined
        ? await outcomePromise
        : await Promise.race([
          outcomePromise,
          outcomeAfterDeadline(runningRequest.signal),
        ]);
      response.off("close", onClose);
      if (stream === undefined) sendOutcome(response, outcome, request_id);
      else stream.finish(outcome, request_id);
      await waitForResponseClose(response);
      await outcomePromise;
    } finally {
      runningRequest.finish();
    }
  }

  #respondWithError(response: ServerResponse, error: unknown): void {
    if (error instanceof RequestError) {
      if (error.fault === RequestFault.BodyTooLarge) {
        response.setHeader("connection", "close");
      }
      return sendProblem(response, faultProblem(error.fault, error.message));
    }
    this.#options.log.error({
      event: "internal_error",
      message: (error as Error).stack ?? String(error),
    });
    sendProblem(response, internalProblem);
    if (!response.writableEnded) response.destroy();
  }
}

/** The idempotency key to claim; undefined for idempotent requests. */
function claimedKey(terms: RequestTerms): string | undefined {
  const nonIdempotent = terms.non_idempotent ||
    terms.pipeline.stages.some((stage) => !stage.idempotent);
  return nonIdempotent ? terms.key?.text : undefined;
}

/**
 * Resolves to an unknown outcome if the run has not ended soon after its abort.
 */
function outcomeAfterDeadline(signal: AbortSignal): Promise<Outcome> {
  return new Promise((resolve) => {
    const resolveLater = () =>
      setTimeout(resolve, DEADLINE_OUTCOME_GRACE_MS, {
        kind: OutcomeKind.Unknown,
        ...failureFromAbort(signal),
        retry_after_ms: UNDECIDED_RETRY_AFTER_MS,
        stages: [],
      });
    if (signal.aborted) resolveLater();
    else signal.addEventListener("abort", resolveLater, { once: true });
  });
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.statusCode = status;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(body));
}

const internalProblem: Problem = {
  status: 500,
  title: "Internal error",
  detail: "The host failed; its log has the details",
  outcome: OutcomeKind.Unknown,
  reason: "internal_error",
};
