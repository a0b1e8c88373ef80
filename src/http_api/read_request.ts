/**
 * Reads and validates a caller's request; throws `RequestError` if it is
 * invalid.
 */
import type { IncomingMessage } from "node:http";
import { z } from "zod";
import {
  type IdempotencyKey,
  parseIdempotencyKey,
} from "../claims/idempotency_key.ts";
import type { RecordSet } from "../records/record_set.ts";
import type { Organisation, Pipeline, Rank } from "../records/types.ts";
import { BytesReadKind, readBytes } from "../bodies/read_bytes.ts";
import { sha256Hex } from "../utils/sha256.ts";
import { RequestError, RequestFault } from "./problem.ts";

/** Headers that carry the terms of a request. */
export enum RequestHeader {
  Authorization = "authorization",
  Rank = "sesamequay-rank",
  DeadlineMs = "sesamequay-deadline-ms",
  IdempotencyKey = "idempotency-key",
  NonIdempotent = "sesamequay-non-idempotent",
  /** Set by a host that forwards a request to the minter of its key. */
  Forwarded = "sesamequay-forwarded",
}

/** The terms of a pipeline request, from its path and headers. */
export interface RequestTerms {
  organisation: Organisation;
  pipeline: Pipeline;
  rank: Rank;
  /** Time until the deadline, counted from the request's arrival. */
  remaining_ms: number;
  /** Whether the caller declared the request non-idempotent. */
  non_idempotent: boolean;
  key: IdempotencyKey | undefined;
  /** Whether another host forwarded the request; it is not forwarded again. */
  forwarded: boolean;
}

/** The validated body of a request. */
export interface RequestBody {
  input: unknown;
  /**
   * Whether the caller wants the response as a stream of server-sent events.
   */
  stream: boolean;
}

const bodySchema = z.strictObject({
  input: z.unknown().refine((input) => input !== undefined, {
    message: "The field is missing",
  }),
  stream: z.boolean().optional(),
});

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;
const WHOLE_NUMBER_PATTERN = /^\d{1,9}$/;

/**
 * The organisation of the request's bearer key; throws if the key is unknown.
 */
export function readOrganisation(
  request: IncomingMessage,
  records: RecordSet,
): Organisation {
  const header = request.headers[RequestHeader.Authorization] ?? "";
  const key = BEARER_PATTERN.exec(header)?.[1];
  const organisation = key === undefined
    ? undefined
    : records.organisationsByKeyHash.get(sha256Hex(key));
  if (organisation !== undefined) return organisation;
  throw new RequestError(
    RequestFault.Unauthorized,
    "Send the header authorization: Bearer KEY with a key of an organisation",
  );
}

/** Reads the terms of a pipeline request and checks that it is permitted. */
export function readTerms(
  request: IncomingMessage,
  context: {
    records: RecordSet;
    identity: string;
    fleet: string;
    most_deadline_ms: number;
  },
): RequestTerms {
  rejectDuplicateHeaders(request);
  const { records, identity, fleet } = context;
  const organisation = readOrganisation(request, records);
  if (!organisation.fleets.includes(fleet)) {
    throw new RequestError(
      RequestFault.Forbidden,
      `The organisation may not call pipelines of fleet ${fleet}`,
    );
  }
  const pipeline = records.pipelines.get(identity);
  if (pipeline === undefined) {
    throw new RequestError(
      RequestFault.UnknownPipeline,
      `There is no pipeline ${identity}`,
    );
  }
  return {
    organisation,
    pipeline,
    rank: readRank(request, { records, fleet }),
    remaining_ms: readDeadline(request, pipeline, context.most_deadline_ms),
    non_idempotent: readNonIdempotent(request),
    key: readIdempotencyKey(request),
    forwarded: request.headers[RequestHeader.Forwarded] !== undefined,
  };
}

/** Reads and validates a JSON body of at most `max_bytes`. */
export async function readRequestBody(
  request: IncomingMessage,
  max_bytes: number,
): Promise<RequestBody> {
  const type = request.headers["content-type"] ?? "application/json";
  if (!type.startsWith("application/json")) {
    throw new RequestError(
      RequestFault.UnsupportedMediaType,
      "Send the body as application/json",
    );
  }
  const text = await readText(request, max_bytes);
  let content: unknown;
  try {
    content = JSON.parse(text);
  } catch {
    throw new RequestError(RequestFault.BadBody, "The body is not JSON");
  }
  const checked = bodySchema.safeParse(content);
  if (!checked.success) {
    const problems = checked.error.issues.map((issue) =>
      `${issue.path.join(".") || "body"}: ${issue.message}`
    );
    throw new RequestError(RequestFault.BadBody, problems.join("; "));
  }
  const { input, stream } = checked.data;
  return { input, stream: stream ?? false };
}

function rejectDuplicateHeaders(request: IncomingMessage): void {
  for (const name of Object.values(RequestHeader)) {
    if ((request.headersDistinct[name]?.length ?? 0) <= 1) continue;
    throw new RequestError(
      RequestFault.DuplicateHeader,
      `Send the header ${name} once`,
    );
  }
}

function readRank(
  request: IncomingMessage,
  { records, fleet }: { records: RecordSet; fleet: string },
): Rank {
  const name = request.headers[RequestHeader.Rank];
  const ranks = [...records.ranks.values()].filter((rank) =>
    rank.fleet === fleet
  );
  const found = name === undefined
    ? ranks.sort((a, b) => b.priority - a.priority)[0]
    : records.ranks.get(`${fleet}/${String(name)}`);
  if (found !== undefined) return found;
  const names = ranks.map((rank) => rank.name).join(", ");
  throw new RequestError(
    RequestFault.UnknownRank,
    `Set ${RequestHeader.Rank} to one of: ${names}`,
  );
}

function readDeadline(
  request: IncomingMessage,
  pipeline: Pipeline,
  max_ms: number,
): number {
  const text = request.headers[RequestHeader.DeadlineMs];
  if (text === undefined) return pipeline.deadline_ms;
  const remaining_ms = Number(text);
  const valid = WHOLE_NUMBER_PATTERN.test(String(text)) && remaining_ms >= 1 &&
    remaining_ms <= max_ms;
  if (valid) return remaining_ms;
  throw new RequestError(
    RequestFault.BadDeadline,
    `Set ${RequestHeader.DeadlineMs} to a whole number from 1 to ${max_ms}`,
  );
}

function readNonIdempotent(request: IncomingMessage): boolean {
  const text = request.headers[RequestHeader.NonIdempotent];
  if (text === undefined || text === "false") return false;
  if (text === "true") return true;
  throw new RequestError(
    RequestFault.BadHeader,
    `Set ${RequestHeader.NonIdempotent} to true or false`,
  );
}

function readIdempotencyKey(
  request: IncomingMessage,
): IdempotencyKey | undefined {
  const text = request.headers[RequestHeader.IdempotencyKey];
  if (text === undefined) return undefined;
  const key = parseIdempotencyKey(String(text));
  if (key !== undefined) return key;
  throw new RequestError(
    RequestFault.BadKey,
    "Use a key from POST /v1/keys, or a UUID of version 7",
  );
}

async function readText(
  request: IncomingMessage,
  max_bytes: number,
): Promise<string> {
  const read = await readBytes(request, { max_bytes });
  if (read.kind === BytesReadKind.Complete) return read.bytes.toString("utf8");
  if (read.kind === BytesReadKind.TooLarge) {
    request.pause();
    throw new RequestError(
      RequestFault.BodyTooLarge,
      `Send at most ${max_bytes} bytes`,
    );
  }
  throw new RequestError(RequestFault.BadBody, "The body was cut");
}
