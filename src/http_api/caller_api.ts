/** The API for callers: pipeline requests, keys, recorded outcomes, health. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { parseIdempotencyKey } from "../claims/idempotency_key.ts";
import type { KeyClaims } from "../claims/claims.ts";
import type { ConfigurationState } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import { type Outcome, OutcomeKind } from "../pipelines/outcome.ts";
import { KeyUseKind } from "../pipelines/pipeline_parts.ts";
import {
  AbortReason,
  type PipelineRequest,
} from "../pipelines/pipeline_request.ts";
import { abortRefusal } from "../pipelines/run_refusal.ts";
import { formatIdentity } from "../records/types.ts";
import { waitForResponseClose } from "../utils/wait_for_response_close.ts";
import { sendOutcome, StreamAnswer } from "./answer.ts";
import {
  faultProblem,
  type Problem,
  RequestError,
  RequestFault,
  sendProblem,
} from "./problem.ts";
import {
  readBody,
  readOrganisation,
  readTerms,
  type RequestBody,
  type RequestTerms,
} from "./read_request.ts";
import { matchRoute, RouteName } from "./routes.ts";
import type { Exchange, PassOn } from "./pass_on.ts";
import type { RunningRequests } from "./running_requests.ts";

/** What the API needs. */
export interface CallerApiOptions {
  configuration: ConfigurationState;
  claims: KeyClaims;
  running: RunningRequests;
  run: (request: PipelineRequest) => Promise<Outcome>;
  /** Whether new requests are taken. */
  accepts: () => boolean;
  /** Whether the balancer should send requests here. */
  ready: () => boolean;
  /** Passes a request on to the host that minted its key. */
  passOn: PassOn;
  limits: { body_bytes: number; deadline_ms: number };
  log: Logger;
  now: () => number;
}

/** How long a run that ends by itself at the deadline may take to say so. */
const OWN_OUTCOME_MS = 50;
const RETRY_LATER_MS = 1_000;

/** Handles callers' HTTP requests. */
export class CallerApi {
  readonly #options: CallerApiOptions;

  constructor(options: CallerApiOptions) {
    this.#options = options;
  }

  /** Handles one request; never rejects. */
  handle = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    try {
      await this.#dispatch({ request, response });
    } catch (error) {
      this.#fail(response, error);
    }
  };

  async #dispatch(exchange: Exchange): Promise<void> {
    const { request, response } = exchange;
    const route = matchRoute(request.method ?? "", request.url ?? "");
    switch (route.name) {
      case RouteName.Health:
        return sendJson(response, 200, { status: "alive" });
      case RouteName.Ready: {
        const ready = this.#options.ready();
        return sendJson(response, ready ? 200 : 503, { ready });
      }
      case RouteName.MintKey:
        return this.#mintKey(exchange);
      case RouteName.Outcome:
        return await this.#lookUp(exchange, route.key);
      case RouteName.Run:
        return await this.#runPipeline(exchange, route);
    }
  }

  #mintKey({ request, response }: Exchange): void {
    const { configuration, claims } = this.#options;
    const organisation = readOrganisation(request, configuration.records);
    const key = claims.mint(formatIdentity(organisation));
    sendJson(response, 201, { idempotency_key: key });
  }

  async #lookUp({ request, response }: Exchange, text: string): Promise<void> {
    const { configuration, claims } = this.#options;
    const organisation = readOrganisation(request, configuration.records);
    const key = parseIdempotencyKey(text);
    if (key === undefined) {
      throw new RequestError(RequestFault.BadKey, "The key has no known form");
    }
    const found = await claims.lookup(formatIdentity(organisation), key);
    switch (found.kind) {
      case KeyUseKind.Recorded:
        return sendOutcome(response, found.outcome, text);
      case KeyUseKind.Unused:
      case KeyUseKind.InUse:
        throw new RequestError(
          RequestFault.NotFound,
          "No outcome is recorded for this key",
        );
      case KeyUseKind.Unavailable:
        return sendJson(response, 503, {
          title: "Platform unavailable",
          status: 503,
        });
    }
  }

  async #runPipeline(
    exchange: Exchange,
    route: { fleet: string; identity: string },
  ): Promise<void> {
    const arrived_ms = this.#options.now();
    const { configuration, limits } = this.#options;
    const terms = readTerms(exchange.request, {
      records: configuration.records,
      ...route,
      most_deadline_ms: limits.deadline_ms,
    });
    const body = await readBody(exchange.request, limits.body_bytes);
    const { passOn } = this.#options;
    if (await passOn(exchange, { terms, body })) return;
    const request_id = randomUUID();
    if (!this.#options.accepts()) {
      exchange.response.setHeader("connection", "close");
    }
    await this.#serve(exchange, { terms, body, request_id, arrived_ms });
  }

  async #serve(
    { response }: Exchange,
    accepted: {
      terms: RequestTerms;
      body: RequestBody;
      request_id: string;
      arrived_ms: number;
    },
  ): Promise<void> {
    const { terms, body, request_id, arrived_ms } = accepted;
    const { running, run } = this.#options;
    const stream = body.stream ? new StreamAnswer(response) : undefined;
    const entry = running.start(terms.remaining_ms);
    const onClose = () => {
      if (!response.writableFinished) entry.abort(AbortReason.CallerGone);
    };
    response.once("close", onClose);
    const key = claimedKey(terms);
    const ending = run({
      request_id,
      organisation: terms.organisation,
      pipeline: terms.pipeline,
      rank: terms.rank,
      input: body.input,
      arrived_ms,
      deadline_ms: arrived_ms + terms.remaining_ms,
      non_idempotent: terms.non_idempotent,
      idempotency_key: key,
      signal: entry.signal,
      stop_signal: entry.stop_signal,
      sendText: stream?.sendText,
    });
    try {
      const outcome = key === undefined
        ? await ending
        : await Promise.race([ending, lateOutcome(entry.signal)]);
      response.off("close", onClose);
      if (stream === undefined) sendOutcome(response, outcome, request_id);
      else stream.finish(outcome, request_id);
      await waitForResponseClose(response);
      await ending;
    } finally {
      entry.finish();
    }
  }

  #fail(response: ServerResponse, error: unknown): void {
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

/** The key to claim; idempotent requests need no claim. */
function claimedKey(terms: RequestTerms): string | undefined {
  const nonIdempotent = terms.non_idempotent ||
    terms.pipeline.stages.some((stage) => !stage.idempotent);
  return nonIdempotent ? terms.key?.text : undefined;
}

/** The outcome of a keyed request whose call goes on after its deadline. */
function lateOutcome(signal: AbortSignal): Promise<Outcome> {
  return new Promise((resolve) => {
    const answer = () =>
      setTimeout(resolve, OWN_OUTCOME_MS, {
        kind: OutcomeKind.Unknown,
        ...abortRefusal(signal),
        retry_after_ms: RETRY_LATER_MS,
        stages: [],
      });
    if (signal.aborted) answer();
    else signal.addEventListener("abort", answer, { once: true });
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
