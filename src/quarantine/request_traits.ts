/**
 * What tells a request that crashes endpoints from others: the parts of its
 * prompt that other requests may share, and the request as a whole, which may
 * come again.
 */
import { createHash } from "node:crypto";
import type { PromptPart } from "../routes/types.ts";

/** What makes two requests the same, whatever host and attempt they come by. */
export interface RequestContent {
  method: string;
  hostname: string;
  /** Path and query. */
  target: string;
  /** Name of the caller's organisation; undefined without one. */
  organisation: string | undefined;
  body: Buffer | undefined;
  prompt: readonly PromptPart[];
  /** Pools that compute pieces for it. */
  stagePools: readonly string[];
}

/** Ids of prompt parts are hexadecimal, so they never look like this. */
const FINGERPRINT_PREFIX = "request:";
const FINGERPRINT_LENGTH = 32;

/** The traits of one request. */
export class RequestTraits {
  /** Ids of the prompt parts that other requests may share: all but the last. */
  readonly parts: readonly string[];
  #content: RequestContent;
  #fingerprint: string | undefined;

  constructor(content: RequestContent) {
    this.#content = content;
    this.parts = sharedParts(content.prompt);
  }

  /** What tells the request from others, the same for each attempt. */
  get fingerprint(): string {
    this.#fingerprint ??= fingerprintOf(this.#content);
    return this.#fingerprint;
  }

  /** What an endpoint of the request's own pool may crash on. */
  get own(): readonly string[] {
    return [...this.parts, this.fingerprint];
  }

  /** What any endpoint may crash on, those of its stages included. */
  get all(): readonly string[] {
    const { stagePools } = this.#content;
    const stages = stagePools.map((pool) => stageTrait(this.fingerprint, pool));
    return [...this.own, ...stages];
  }
}

/** What endpoints of a pool crash on if they crash on a request's pieces. */
export function stageTrait(fingerprint: string, pool: string): string {
  return `${fingerprint}/${pool}`;
}

/** Stands for any request that the endpoint at an address answers. */
export function answeringTrait(address: string): string {
  return `endpoint:${address}`;
}

/** Ids of the parts that other requests may share: all but the last. */
export function sharedParts(prompt: readonly PromptPart[]): string[] {
  return [...new Set(prompt.slice(0, -1).map(({ id }) => id))];
}

/** Digest of all that makes two requests the same. */
function fingerprintOf(
  { method, hostname, target, organisation, body }: RequestContent,
): string {
  const head = JSON.stringify([method, hostname, target, organisation ?? ""]);
  const digest = createHash("sha256").update(head);
  if (body !== undefined) digest.update(body);
  return FINGERPRINT_PREFIX + digest.digest("hex").slice(0, FINGERPRINT_LENGTH);
}
