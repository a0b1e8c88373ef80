/**
 * Gathers the requests that an endpoint held when its connections broke, and
 * reports them if it has crashed, unless by its rejections.
 */
import type { Logger } from "../logging/logger.ts";
import type { RouteEndpoint } from "../routes/types.ts";
import { abortableDelay } from "../utils/delay.ts";
import type { CrashReport } from "./types.ts";

/** Dependencies of {@linkcode CrashReports}. */
export interface CrashReportsOptions {
  /** Whether nothing listens at an endpoint's address any more. */
  isRefused: (address: string) => Promise<boolean>;
  /**
   * Whether an endpoint that crashed now did so since it rejected too many
   * requests.
   */
  isOverloaded: (endpoint: RouteEndpoint) => boolean;
  /** Sends a report to the ledgers; resolves to the traits that they suspect. */
  send: (report: CrashReport) => Promise<string[]>;
  /** Called when an endpoint has crashed under requests of this host. */
  onCrash: () => void;
  log: Logger;
  now: () => number;
  signal: AbortSignal;
}

/** A send that ended without an event of its response. */
export interface BrokenSend {
  endpoint: RouteEndpoint;
  attempt_id: string;
  /** Traits of the request. */
  traits: readonly string[];
  /** Time of the send, on the monotonic clock. */
  sent_ms: number;
}

/** What a broken send has come to; the promises never reject. */
export interface CrashVerdict {
  /** Whether its endpoint has crashed. */
  crashed: Promise<boolean>;
  /** Whether the request is suspected, and must not be sent to another endpoint. */
  suspected: Promise<boolean>;
}

/** Reports of one host about one crash share a message within this time. */
const REPORT_WINDOW_MS = 20;

interface BrokenRequest extends Omit<BrokenSend, "endpoint"> {
  /** When the send broke, on the monotonic clock. */
  broke_ms: number;
}

interface OpenReport {
  requests: BrokenRequest[];
  crashed: Promise<boolean>;
  suspects: Promise<string[]>;
}

/** The reports that this host gathers and sends, one for each crash. */
export class CrashReports {
  #options: CrashReportsOptions;
  /** Reports that are being gathered, by endpoint address. */
  #open = new Map<string, OpenReport>();

  constructor(options: CrashReportsOptions) {
    this.#options = options;
  }

  /** Reports a broken send if its endpoint has crashed. */
  record(
    { endpoint, attempt_id, traits, sent_ms }: BrokenSend,
  ): CrashVerdict {
    const { address } = endpoint;
    const open = this.#open.get(address) ?? this.#openReport(endpoint);
    const broke_ms = this.#options.now();
    open.requests.push({ attempt_id, traits, sent_ms, broke_ms });
    return {
      crashed: open.crashed,
      suspected: open.suspects.then((suspects) =>
        traits.some((trait) => suspects.includes(trait))
      ),
    };
  }

  /** Gathers the requests that one endpoint held when it broke. */
  #openReport(endpoint: RouteEndpoint): OpenReport {
    const { isOverloaded, isRefused, log, signal } = this.#options;
    const { address } = endpoint;
    const requests: BrokenRequest[] = [];
    let overloaded = false;
    const crashed = abortableDelay(REPORT_WINDOW_MS, signal).then(() => {
      this.#open.delete(address);
      overloaded = isOverloaded(endpoint);
      return isRefused(address);
    });
    const suspects = crashed.then((isCrash) =>
      isCrash ? this.#report(address, { requests, overloaded }) : []
    ).catch((error: Error) => {
      log.error({ event: "fault", stage: "crash_report", error: error.stack });
      return [];
    });
    const open = { requests, crashed, suspects };
    this.#open.set(address, open);
    return open;
  }

  async #report(
    address: string,
    { requests, overloaded }: {
      requests: BrokenRequest[];
      overloaded: boolean;
    },
  ): Promise<string[]> {
    const { onCrash, send, log, now } = this.#options;
    onCrash();
    log.info({
      event: "endpoint_crash",
      address,
      attempts: requests.map(({ attempt_id }) => attempt_id).join(","),
      overloaded,
    });
    // Such a crash says nothing of the requests that the endpoint held.
    if (overloaded) return [];
    return await send({
      address,
      requests: requests.map((request) => createCrashedRequest(request, now())),
    });
  }
}

function createCrashedRequest(
  { attempt_id, traits, sent_ms, broke_ms }: BrokenRequest,
  now_ms: number,
): CrashReport["requests"][number] {
  return {
    attempt_id,
    parts: [...traits],
    sent_ago_ms: now_ms - sent_ms,
    broke_ago_ms: now_ms - broke_ms,
  };
}
