/** Calls other gateway hosts over tRPC; one client for each address. */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { GathererPeers } from "../batching/job_router.ts";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type { SharedBeliefs } from "../beliefs/shared_beliefs.ts";
import { formatAddress, parseAddress } from "../settings/settings.ts";
import { createHttpFetch } from "../utils/http_fetch.ts";
import type { GatewayRouter } from "./gateway_router.ts";

/** How long a host may take for an answer that it has at hand. */
const PROMPT_TIMEOUT_MS = 400;
/** Longest time of a job; the caller's signal ends it sooner. */
const JOB_TIMEOUT_MS = 60_000;

interface OpenClients {
  prompt: TRPCClient<GatewayRouter>;
  jobs: TRPCClient<GatewayRouter>;
  close: () => void;
}

/** Keeps the clients of all gateway hosts. */
export class GatewayClients implements GathererPeers {
  #open = new Map<string, OpenClients>();

  /** Has a job made at another host. */
  async run(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const { jobs } = this.#to(address);
    return await jobs.run.mutate(job, { signal }) as JobOutcome;
  }

  /** Gives up results that another host counts. */
  async free(address: string, freed: FreedResults[]): Promise<void> {
    await this.#to(address).prompt.free.mutate(freed);
  }

  /** Rejects if the host is silent or leaving. */
  async ping(address: string): Promise<void> {
    await this.#to(address).prompt.ping.query();
  }

  /** What another host believes. */
  async beliefs(address: string): Promise<SharedBeliefs> {
    return await this.#to(address).prompt.beliefs.query() as SharedBeliefs;
  }

  /** Closes every client. */
  close(): void {
    for (const { close } of this.#open.values()) close();
    this.#open.clear();
  }

  #to(address: string): OpenClients {
    const known = this.#open.get(address);
    if (known !== undefined) return known;
    const prompt = openClient(address, PROMPT_TIMEOUT_MS);
    const jobs = openClient(address, JOB_TIMEOUT_MS);
    const created = {
      prompt: prompt.client,
      jobs: jobs.client,
      close() {
        prompt.close();
        jobs.close();
      },
    };
    this.#open.set(address, created);
    return created;
  }
}

function openClient(
  address: string,
  timeout_ms: number,
): { client: TRPCClient<GatewayRouter>; close: () => void } {
  const target = parseAddress(address);
  const { fetch, close } = createHttpFetch(target, timeout_ms);
  const client = createTRPCClient<GatewayRouter>({
    links: [httpLink({
      url: `http://${formatAddress(target)}`,
      fetch: fetch as unknown as typeof globalThis.fetch,
    })],
  });
  return { client, close };
}
