/** Calls other gateway hosts; one client for each address. */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import type { BatcherPeers } from "../batching/job_router.ts";
import type { FreedResults, JobOutcome, StageJob } from "../batching/types.ts";
import type {
  ChangeRevisions,
  StateSnapshot,
} from "../store_sync/state_snapshot.ts";
import { formatAddress, parseAddress } from "../settings/settings.ts";
import { HttpClient } from "../utils/http_client.ts";
import { createHttpFetch } from "../utils/http_fetch.ts";
import { FREED_PATH, JOB_PATH } from "./job_messages.ts";
import type { GatewayRpcRouter } from "./gateway_rpc_router.ts";

/** How long a host may take for an answer that it has at hand. */
const PROMPT_TIMEOUT_MS = 400;
/** Longest time of a job; the caller's signal ends it sooner. */
const JOB_TIMEOUT_MS = 60_000;

const HTTP_OK = 200;

interface OpenClients {
  trpc: TRPCClient<GatewayRpcRouter>;
  jobs: HttpClient;
  close: () => void;
}

/** Keeps the clients of all gateway hosts. */
export class GatewayClients implements BatcherPeers {
  #open = new Map<string, OpenClients>();

  /** Has a job made at another host. */
  async run(
    address: string,
    job: StageJob,
    signal: AbortSignal,
  ): Promise<JobOutcome> {
    const call = { path: JOB_PATH, timeout_ms: JOB_TIMEOUT_MS, signal };
    return await this.#post(address, job, call) as JobOutcome;
  }

  /** Gives up results that another host counts. */
  async free(address: string, freed: FreedResults[]): Promise<void> {
    const call = { path: FREED_PATH, timeout_ms: PROMPT_TIMEOUT_MS };
    await this.#post(address, freed, call);
  }

  /** Whether the host batches; rejects if it is silent. */
  async ping(address: string): Promise<boolean> {
    return await this.#to(address).trpc.ping.query();
  }

  /** How far another host has read. */
  async changeRevisions(address: string): Promise<ChangeRevisions> {
    return await this.#to(address).trpc.progress.query();
  }

  /** What another host believes. */
  async snapshot(address: string): Promise<StateSnapshot> {
    return await this.#to(address).trpc.beliefs.query() as StateSnapshot;
  }

  /** Closes every client. */
  close(): void {
    for (const { close } of this.#open.values()) close();
    this.#open.clear();
  }

  async #post(
    address: string,
    content: unknown,
    call: { path: string; timeout_ms: number; signal?: AbortSignal },
  ): Promise<unknown> {
    const answer = await this.#to(address).jobs.send({
      ...call,
      method: "POST",
      body: JSON.stringify(content),
    });
    if (answer.status === HTTP_OK) return JSON.parse(answer.body);
    throw new Error(`The peer answered ${answer.status}`);
  }

  #to(address: string): OpenClients {
    const known = this.#open.get(address);
    if (known !== undefined) return known;
    const target = parseAddress(address);
    const { fetch, close } = createHttpFetch(target, PROMPT_TIMEOUT_MS);
    const jobs = new HttpClient(target);
    const created = {
      trpc: createTRPCClient<GatewayRpcRouter>({
        links: [httpLink({
          url: `http://${formatAddress(target)}`,
          fetch: fetch as unknown as typeof globalThis.fetch,
        })],
      }),
      jobs,
      close() {
        close();
        jobs.close();
      },
    };
    this.#open.set(address, created);
    return created;
  }
}
