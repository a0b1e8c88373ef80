/** The named loads, and the policies that each compares. */
import type { BrokenVariant } from "../../stand_ins/scenario/scenario.ts";
import type { EndpointDefinition, Fleet } from "../../stand_ins/fleet.ts";
import type { Workload } from "../../stand_ins/load/load.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";
import { sha256Hex } from "../../src/utils/sha256.ts";

/** A policy or version under a load. */
export interface LoadVariant {
  name: string;
  /** Merged into every host's settings. */
  settings?: Record<string, object>;
  /** A mechanism that is left out. */
  change?: BrokenVariant;
  /** Streams that this variant leaves out. */
  without?: string;
}

/** Something that happens during a load. */
export interface LoadEvent {
  at_ms: number;
  run: (fleet: Fleet) => Promise<void> | void;
}

/** A load and what it compares. */
export interface NamedLoad {
  name: string;
  variants: LoadVariant[];
  workloads: Workload[];
  events?: LoadEvent[];
  duration_ms: number;
  seeds: number[];
  /** Also give figures for each window of this length. */
  window_ms?: number;
}

/** Hosts of every load. */
export const LOAD_HOSTS = 4;
const DEADLINE_MS = 3_000;
const ENGINE_SLOTS = 8;
const ENGINE_SERVICE_MS = [100, 200, 400];
const MS_PER_S = 1_000;

/** Requests a second that the engines of a load can serve. */
export const CAPACITY_PER_S = ENGINE_SERVICE_MS.reduce(
  (sum, service_ms) => sum + ENGINE_SLOTS * MS_PER_S / service_ms,
  0,
);

/** Endpoints of every load: three engine speeds, a factor of four apart. */
export const LOAD_ENDPOINTS: EndpointDefinition[] = [
  ...["encode", "retrieve", "rerank"].flatMap((pool) =>
    [1, 2].map((number) => ({
      name: `${pool}-${number}`,
      fleet: "khuree",
      pool,
      service_ms: 5,
      slots: 32,
    }))
  ),
  ...ENGINE_SERVICE_MS.map((service_ms, number) => ({
    name: `engine-${number + 1}`,
    fleet: "khuree",
    pool: "generate",
    protocol: "completions" as const,
    tokens: 4,
    service_ms,
    slots: ENGINE_SLOTS,
    availability_zone: `az-${number + 1}`,
  })),
];

const ALLOWANCE_PER_S = 20;
const SMALL_CALLERS = [1, 2, 3, 4, 5];

/** Records of every load, without endpoints. */
export function loadRecords(): object[] {
  const organisation = (name: string, requests_per_second: number) => ({
    schema_version: 1,
    kind: "Organisation",
    fleet: "khuree",
    name,
    key_sha256: [sha256Hex(`${name}-key`)],
    requests_per_second,
    burst_requests: requests_per_second,
  });
  return [
    ...sampleRecords(),
    organisation("plenty", 10_000),
    organisation("large", ALLOWANCE_PER_S),
    ...SMALL_CALLERS.map((number) =>
      organisation(`small-${number}`, ALLOWANCE_PER_S)
    ),
  ];
}

const OURS: LoadVariant = { name: "sesamequay" };
const ROUND_ROBIN: LoadVariant = {
  name: "round robin, first in first out",
  settings: {
    routing: { policy: "round_robin" },
    admission: { policy: "first_in_first_out" },
  },
};
const LEAST_CONNECTIONS: LoadVariant = {
  name: "least connections, first in first out",
  settings: {
    routing: { policy: "least_connections" },
    admission: { policy: "first_in_first_out" },
  },
};
const NO_EARLY_REFUSAL: LoadVariant = {
  name: "without early refusal",
  change: {
    name: "every request is admitted",
    file: "src/admission/admission_controller.ts",
    replace: "const admitted = estimate.total_ms <= remaining_ms;",
    with: "const admitted = true || estimate.total_ms <= remaining_ms;",
  },
};
const NO_GUARANTEE: LoadVariant = {
  name: "without guaranteed shares",
  change: {
    name: "ranks have no credit",
    file: "src/admission/ranked_queue.ts",
    replace: "rank.credit + rank.guaranteed_share",
    with: "0 * rank.guaranteed_share",
  },
};
const NO_ALLOWANCE: LoadVariant = {
  name: "without allowances",
  change: {
    name: "every request is within its allowance",
    file: "src/admission/admission_controller.ts",
    replace: "if (!withinAllowance) this.#overAllowance.add(request);",
    with: "",
  },
};
const NO_EJECTION: LoadVariant = {
  name: "without ejection",
  change: {
    name: "endpoints are never ejected",
    file: "src/routing/endpoint_health.ts",
    replace: "const MIN_FAILURES_TO_EJECT = 4;",
    with: "const MIN_FAILURES_TO_EJECT = 4e9;",
  },
};
const NO_RETRY_BUDGET: LoadVariant = {
  name: "without a retry budget",
  change: {
    name: "retries are not bounded",
    file: "src/routing/retry_budget.ts",
    replace: "if (this.#tokens < 1) return false;",
    with: "",
  },
};

function stream(
  group: string,
  rank: string,
  rate: number | ((elapsed_ms: number) => number),
  caller = "plenty",
): Workload {
  return {
    group,
    pipeline: "khuree/review",
    key: `${caller}-key`,
    rank,
    rate_per_s: typeof rate === "number" ? () => rate : rate,
    deadline_ms: DEADLINE_MS,
  };
}

function mix(load: number): Workload[] {
  return [
    stream("urgent", "urgent", 0.3 * load * CAPACITY_PER_S),
    stream("normal", "normal", 0.4 * load * CAPACITY_PER_S),
    stream("bulk", "bulk", 0.3 * load * CAPACITY_PER_S),
  ];
}

const BURST_EVERY_MS = 3_000;
const BURST_MS = 200;
const FLOOD = 10;

/** Ten times the rate for a short time, again and again. */
function bursts(base_per_s: number): (elapsed_ms: number) => number {
  return (elapsed_ms) =>
    elapsed_ms % BURST_EVERY_MS < BURST_MS ? FLOOD * base_per_s : base_per_s;
}

const POLICIES = [OURS, ROUND_ROBIN, LEAST_CONNECTIONS];

/** Every named load. */
export const LOADS: NamedLoad[] = [
  {
    name: "steady",
    variants: POLICIES,
    workloads: mix(0.7),
    duration_ms: 10_000,
    seeds: [1, 2],
  },
  {
    name: "nearly_full",
    variants: POLICIES,
    workloads: mix(0.95),
    duration_ms: 12_000,
    seeds: [1, 2],
  },
  {
    name: "bulk_flood",
    variants: [OURS, ROUND_ROBIN, NO_EARLY_REFUSAL, NO_GUARANTEE],
    workloads: [
      stream("urgent", "urgent", 0.2 * CAPACITY_PER_S),
      stream("normal", "normal", 0.3 * CAPACITY_PER_S),
      stream("bulk", "bulk", FLOOD * CAPACITY_PER_S),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "urgent_flood",
    variants: [OURS, ROUND_ROBIN, NO_GUARANTEE],
    workloads: [
      stream("urgent", "urgent", FLOOD * CAPACITY_PER_S),
      stream("normal", "normal", 0.2 * CAPACITY_PER_S),
      stream("bulk", "bulk", 0.05 * CAPACITY_PER_S),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "large_caller",
    variants: [
      OURS,
      { name: "sesamequay, large caller away", without: "large" },
      NO_ALLOWANCE,
      ROUND_ROBIN,
    ],
    workloads: [
      stream("large", "normal", 20 * ALLOWANCE_PER_S, "large"),
      ...SMALL_CALLERS.map((number) =>
        stream("small", "normal", 0.8 * ALLOWANCE_PER_S, `small-${number}`)
      ),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "endpoint_faults",
    variants: [OURS, ROUND_ROBIN, NO_EJECTION, NO_RETRY_BUDGET],
    workloads: mix(0.4),
    events: [
      faultAt(4_000, "khuree/encode-1", { slowdown: 10 }),
      faultAt(4_000, "khuree/retrieve-1", { fail_every: 2 }),
      faultAt(4_000, "khuree/rerank-1", { silent_every: 1 }),
    ],
    duration_ms: 16_000,
    seeds: [1],
    window_ms: 4_000,
  },
  {
    name: "zone_lost",
    variants: [OURS, ROUND_ROBIN],
    workloads: mix(0.4),
    events: [{
      at_ms: 4_000,
      run: (fleet) =>
        fleet.endpoint("khuree/engine-2").process.signal("SIGSTOP"),
    }],
    duration_ms: 16_000,
    seeds: [1],
    window_ms: 4_000,
  },
  {
    name: "bursts_and_kill",
    variants: [OURS, NO_EARLY_REFUSAL],
    workloads: [
      stream("urgent", "urgent", 0.2 * CAPACITY_PER_S),
      stream("bulk", "bulk", bursts(0.3 * CAPACITY_PER_S)),
    ],
    events: [{
      at_ms: 6_000,
      run: (fleet) => fleet.hosts.at(-1)?.process.signal("SIGKILL"),
    }],
    duration_ms: 15_000,
    seeds: [1],
    window_ms: 3_000,
  },
];

function faultAt(at_ms: number, name: string, faults: object): LoadEvent {
  return { at_ms, run: (fleet) => fleet.setEndpointFaults(name, faults) };
}
