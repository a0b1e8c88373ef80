/**
 * Plays requests with stages on a virtual clock: many hosts, one batcher for
 * each pool, simulated endpoints, and callers that come back once when told to.
 */
import { mock } from "node:test";
import { Batcher } from "../../src/batching/batcher.ts";
import { estimateStageTime } from "../../src/batching/expected_wait.ts";
import { type BatcherPeers, JobRouter } from "../../src/batching/job_router.ts";
import { KnownPoolLoads } from "../../src/batching/known_pool_loads.ts";
import { PoolWaits } from "../../src/batching/pool_waits.ts";
import {
  type GraphOutcome,
  runStages,
} from "../../src/batching/stage_graph.ts";
import { JobOutcomeKind } from "../../src/batching/types.ts";
import { createLogger } from "../../src/logging/logger.ts";
import {
  type BatchLimits,
  CallKind,
  type Route,
  type RouteEndpoint,
  RouteEndpointState,
  type RoutePool,
} from "../../src/routes/types.ts";
import {
  MESSAGE_MS,
  SimulatedEndpoint,
  type SimulatedWorld,
  wait,
} from "./simulated_endpoint.ts";

/** A pool of simulated endpoints. */
export interface ReplayedPool {
  name: string;
  endpoints: number;
  limits: BatchLimits;
}

/** Requests of one kind. */
export interface ReplayedClass {
  name: string;
  priority: number;
  target_latency_ms: number;
  deadline_ms: number;
  stages: Route["stages"];
  /** Number of pieces of each stage. */
  pieces: number[];
  /** Requests that arrive in a second, by the time since the start. */
  rate_per_s: (at_ms: number) => number;
}

/** What became of the requests of one kind. */
export interface ReplayedOutcomes {
  asked: number;
  on_time: number;
  late: number;
  refused: number;
  failed: number;
  /** Longest time until a request heard that it is not served. */
  longest_unserved_ms: number;
  /** Times until first attempts heard that they are refused. */
  refused_after_ms: number[];
}

/** A pipeline, its load and how long it is played. */
export interface ReplayOptions {
  pools: ReplayedPool[];
  classes: ReplayedClass[];
  hosts: number;
  /** Requests arrive until then. */
  length_ms: number;
  /** Requests that arrived earlier are not counted. */
  counted_from_ms?: number;
}

const ZONES = ["a", "b", "c"];
const STEP_MS = 2;
/** Time from the results of all stages to the first byte of the response. */
const RESPONSE_MS = 120;

/** Plays the load; resolves to the outcomes of each kind of request. */
export async function replayPipeline(
  options: ReplayOptions,
): Promise<Map<string, ReplayedOutcomes>> {
  mock.timers.enable({ apis: ["setTimeout"] });
  const replay = new PipelineReplay(options);
  try {
    return await replay.run();
  } finally {
    replay.stopping.abort();
    mock.timers.reset();
  }
}

interface ReplayedHost {
  batcher: Batcher;
  router: JobRouter;
}

class PipelineReplay {
  readonly stopping = new AbortController();
  #options: ReplayOptions;
  #now_ms = 0;
  #pools: Map<string, RoutePool>;
  #endpoints: Map<string, RouteEndpoint[]>;
  #world: SimulatedWorld;
  /** Size of a result, by attempt id and stage. */
  #resultBytes = new Map<string, number>();
  #hosts = new Map<string, ReplayedHost>();
  #attempts = 0;
  #outcomes: Map<string, ReplayedOutcomes>;
  #log = createLogger({ level: "error", host: "h", writeLine: () => {} });

  constructor(options: ReplayOptions) {
    this.#options = options;
    this.#pools = new Map(options.pools.map(({ name, limits }) => [name, {
      name,
      max_connections: 100,
      model_engine: false,
      batch: limits,
    }]));
    this.#endpoints = new Map(
      options.pools.map((
        pool,
        index,
      ) => [pool.name, listEndpoints(pool, index)]),
    );
    this.#world = {
      now: () => this.#now_ms,
      endpoints: new Map(),
      resultBytes: ({ attempt_id, stage }) =>
        this.#resultBytes.get(`${attempt_id}/${stage}`) ?? 0,
    };
    for (const { name, limits } of options.pools) {
      for (const endpoint of this.#endpoints.get(name) ?? []) {
        this.#world.endpoints.set(
          endpoint.address,
          new SimulatedEndpoint(endpoint, limits, this.#world),
        );
      }
    }
    for (let host = 0; host < options.hosts; host++) this.#addHost(host);
    this.#outcomes = new Map(
      options.classes.map(({ name }) => [name, createOutcomes()]),
    );
  }

  async run(): Promise<Map<string, ReplayedOutcomes>> {
    const { classes, length_ms } = this.#options;
    const running = new Set<Promise<void>>();
    const due = new Map(classes.map((kind) => [kind, 0]));
    while (this.#now_ms < length_ms || running.size > 0) {
      for (const kind of this.#now_ms < length_ms ? classes : []) {
        const arriving = kind.rate_per_s(this.#now_ms) * STEP_MS / 1_000;
        let waiting = (due.get(kind) ?? 0) + arriving;
        for (; waiting >= 1; waiting--) {
          const asked = this.#ask(kind);
          running.add(asked);
          void asked.finally(() => running.delete(asked));
        }
        due.set(kind, waiting);
      }
      this.#now_ms += STEP_MS;
      mock.timers.tick(STEP_MS);
      await new Promise((resolve) => setImmediate(resolve));
    }
    return this.#outcomes;
  }

  #addHost(number: number): void {
    const log = this.#log;
    const now = () => this.#now_ms;
    const { signal } = this.stopping;
    const self = `host-${number}`;
    const batchers = this.#options.pools.map((_, index) => `host-${index}`);
    const batcher: Batcher = new Batcher({
      pool: (name) => this.#pools.get(name),
      endpoints: (name) => this.#endpoints.get(name) ?? [],
      pauseMs: () => 0,
      client: {
        call: ({ address }, requests) =>
          this.#endpointAt(address).call(requests),
        free: async (address, handles) => {
          await wait(2 * MESSAGE_MS);
          this.#endpointAt(address).free(handles);
          return true;
        },
      },
      freeAtBatcher: (freed) => router.free(freed),
      laterLoad: (name) => loads.loadOf(name),
      isCutOffFrom: () => false,
      hasCrashed: () => Promise.resolve(false),
      onCompleted: () => {},
      onUnwantedCall: () => {},
      log,
      now,
    });
    const router: JobRouter = new JobRouter({
      self,
      batchers: () => batchers,
      pools: () => [],
      hosts: () => batchers,
      local: batcher,
      peers: this.#createPeers(),
      waits: new PoolWaits(),
      zone: "a",
      shards: () => [],
      zoneAt: () => "a",
      log,
      now,
      signal,
    });
    const loads: KnownPoolLoads = new KnownPoolLoads({
      queuesOf: (name) => router.queuesOf(name),
      ask: (queue) => router.askLoad(queue),
      log,
      now,
      delay: wait,
      signal,
    });
    this.#hosts.set(self, { batcher, router });
  }

  #createPeers(): BatcherPeers {
    const batcherAt = (address: string) => this.#hostAt(address).batcher;
    return {
      async run(address, job, signal) {
        await wait(MESSAGE_MS);
        const outcome = await batcherAt(address).runForPeer(job, signal);
        await wait(MESSAGE_MS);
        return outcome;
      },
      async free(address, freed) {
        await wait(MESSAGE_MS);
        for (const each of freed) batcherAt(address).free(each);
      },
      ping: () => Promise.resolve(true),
      async loadReport(address, queue) {
        await wait(MESSAGE_MS);
        return batcherAt(address).reportLoad(queue);
      },
    };
  }

  #endpointAt(address: string): SimulatedEndpoint {
    return this.#world.endpoints.get(address) as SimulatedEndpoint;
  }

  #hostAt(address: string): ReplayedHost {
    return this.#hosts.get(address) as ReplayedHost;
  }

  /** Sends a request, and once more if it is told when to return. */
  async #ask(kind: ReplayedClass): Promise<void> {
    const arrived_ms = this.#now_ms;
    const expires_ms = arrived_ms + kind.deadline_ms;
    const request = `request-${this.#attempts + 1}`;
    let outcome = await this.#runAttempt(kind, { request, expires_ms });
    const refused_after_ms = this.#now_ms - arrived_ms;
    const isReturning = outcome.kind === JobOutcomeKind.Refused;
    if (outcome.kind === JobOutcomeKind.Refused) {
      const longest_ms = (expires_ms - this.#now_ms) / 3;
      await wait(Math.min(outcome.retry_after_ms, longest_ms));
      outcome = await this.#runAttempt(kind, { request, expires_ms });
    }
    if (outcome.kind === JobOutcomeKind.Completed) {
      await wait(RESPONSE_MS);
      outcome.freeResults();
    }
    if (arrived_ms < (this.#options.counted_from_ms ?? 0)) return;
    const counted = this.#outcomes.get(kind.name) as ReplayedOutcomes;
    if (isReturning) counted.refused_after_ms.push(refused_after_ms);
    count(counted, kind, {
      outcome: outcome.kind,
      elapsed_ms: this.#now_ms - arrived_ms,
    });
  }

  async #runAttempt(
    kind: ReplayedClass,
    { request, expires_ms }: { request: string; expires_ms: number },
  ): Promise<GraphOutcome> {
    this.#attempts += 1;
    const attempt_id = `attempt-${this.#attempts}`;
    for (const [stage, { result_bytes }] of kind.stages.entries()) {
      this.#resultBytes.set(`${attempt_id}/${stage}`, result_bytes);
    }
    const { router } = this.#hostAt(
      `host-${this.#attempts % this.#options.hosts}`,
    );
    const deadline = new AbortController();
    const timer = setTimeout(
      () => deadline.abort(),
      expires_ms - this.#now_ms,
    );
    const outcome = await runStages({
      attempt_id,
      fingerprint: request,
      route: createRoute(kind),
      priority: kind.priority,
      pieces: kind.pieces,
      piece_key: attempt_id,
      home_zone: undefined,
      has_begun: false,
      due_ms: this.#now_ms + kind.target_latency_ms - RESPONSE_MS,
      expires_ms,
      signal: deadline.signal,
    }, {
      run: (job, signal) => router.run(job, signal),
      free: (freed) => router.free(freed),
      stageTime: (stage) =>
        estimateStageTime(
          this.#pools.get(stage.pool)?.batch,
          router.expectedWaitMs(stage),
        ),
      now: () => this.#now_ms,
    });
    clearTimeout(timer);
    for (const stage of kind.stages.keys()) {
      this.#resultBytes.delete(`${attempt_id}/${stage}`);
    }
    return outcome;
  }
}

function listEndpoints(
  { name, endpoints }: ReplayedPool,
  pool_index: number,
): RouteEndpoint[] {
  return Array.from({ length: endpoints }, (_, number) => ({
    id: `${name}-${number}`,
    pool: name,
    address: `10.${pool_index}.0.${number + 1}:80`,
    availability_zone: ZONES[number % ZONES.length] as string,
    slots: 1,
    state: RouteEndpointState.Ready,
    born_ms: 1,
  }));
}

function createRoute(kind: ReplayedClass): Route {
  return {
    name: kind.name,
    hostname: "h",
    path_prefix: "/",
    kind: CallKind.Streaming,
    timeout_ms: kind.deadline_ms,
    target_latency_ms: kind.target_latency_ms,
    first_event_within_ms: undefined,
    priority: kind.priority,
    pools: [],
    max_attempts: 1,
    stages: kind.stages,
    public: true,
    resumable: false,
  };
}

function createOutcomes(): ReplayedOutcomes {
  return {
    asked: 0,
    on_time: 0,
    late: 0,
    refused: 0,
    failed: 0,
    longest_unserved_ms: 0,
    refused_after_ms: [],
  };
}

function count(
  counted: ReplayedOutcomes,
  { target_latency_ms, deadline_ms }: ReplayedClass,
  { outcome, elapsed_ms }: { outcome: JobOutcomeKind; elapsed_ms: number },
): void {
  counted.asked += 1;
  if (outcome === JobOutcomeKind.Completed && elapsed_ms <= deadline_ms) {
    if (elapsed_ms <= target_latency_ms) counted.on_time += 1;
    else counted.late += 1;
    return;
  }
  if (outcome === JobOutcomeKind.Refused) counted.refused += 1;
  else counted.failed += 1;
  counted.longest_unserved_ms = Math.max(
    counted.longest_unserved_ms,
    elapsed_ms,
  );
}
