/** Definitions of the named loads and of the variants that each compares. */
import type { BrokenVariant } from "../../stand_ins/scenario/scenario.ts";
import type { EndpointDefinition, Fleet } from "../../stand_ins/fleet.ts";
import type { Workload } from "../../stand_ins/load/load.ts";
import { sampleRecords } from "../../stand_ins/sample_records.ts";
import { sha256Hex } from "../../src/utils/sha256.ts";

/** A configuration or modified build of the program that runs a load. */
export interface LoadVariant {
  name: string;
  /** Merged into every host's settings. */
  settings?: Record<string, object>;
  /** Source change that disables a mechanism. */
  change?: BrokenVariant;
  /** Group of workloads that this variant leaves out. */
  without?: string;
}

/** An action during a load, such as a fault. */
export interface LoadEvent {
  /** Time since the start of the load. */
  at_ms: number;
  run: (fleet: Fleet) => Promise<void> | void;
}

/** A load and the variants that it compares. */
export interface NamedLoad {
  name: string;
  variants: LoadVariant[];
  workloads: Workload[];
  events?: LoadEvent[];
  duration_ms: number;
  seeds: number[];
  /** Length of the windows with figures of their own; `undefined`: no windows. */
  window_ms?: number;
}

/** Number of hosts in every load. */
export const LOAD_HOSTS = 4;
const DEADLINE_MS = 3_000;
const ENGINE_SLOTS = 8;
const ENGINE_SERVICE_MS = [100, 200, 400];
const MS_PER_S = 1_000;

/** Requests per second that all engines of a load can serve together. */
export const CAPACITY_PER_S = ENGINE_SERVICE_MS.reduce(
  (sum, service_ms) => sum + ENGINE_SLOTS * MS_PER_S / service_ms,
  0,
);

/** Endpoints of every load; the slowest engine takes four times the fastest. */
export const LOAD_ENDPOINTS: EndpointDefinition[] = [
  ...["encode", "retrieve", "rerank"].flatMap((pool) =>
    [1, 2].map((index) => ({
      name: `${pool}-${index}`,
      fleet: "khuree",
      pool,
      service_ms: 5,
      slots: 32,
    }))
  ),
  ...ENGINE_SERVICE_MS.map((service_ms, index) => ({
    name: `engine-${index + 1}`,
    fleet: "khuree",
    pool: "generate",
    protocol: "completions" as const,
    tokens: 4,
    service_ms,
    slots: ENGINE_SLOTS,
    availability_zone: `az-${index + 1}`,
  })),
];

/** Allowance of each limited organisation, in requests per second. */
const ALLOWANCE_PER_S = 20;
const SMALL_CALLER_NUMBERS = [1, 2, 3, 4, 5];

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
    ...SMALL_CALLER_NUMBERS.map((number) =>
      organisation(`small-${number}`, ALLOWANCE_PER_S)
    ),
  ];
}

const SESAMEQUAY: LoadVariant = { name: "sesamequay" };
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
const NO_EARLY_REJECTION: LoadVariant = {
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

function createWorkload(
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

/** Workloads of all three ranks, whose rates add up to a share of the capacity. */
function createMixedWorkloads(capacityShare: number): Workload[] {
  return [
    createWorkload("urgent", "urgent", 0.3 * capacityShare * CAPACITY_PER_S),
    createWorkload("normal", "normal", 0.4 * capacityShare * CAPACITY_PER_S),
    createWorkload("bulk", "bulk", 0.3 * capacityShare * CAPACITY_PER_S),
  ];
}

const BURST_INTERVAL_MS = 3_000;
const BURST_MS = 200;
const OVERLOAD_FACTOR = 10;

/** A rate that rises by `OVERLOAD_FACTOR` in short, regular bursts. */
function burstRate(base_per_s: number): (elapsed_ms: number) => number {
  return (elapsed_ms) =>
    elapsed_ms % BURST_INTERVAL_MS < BURST_MS
      ? OVERLOAD_FACTOR * base_per_s
      : base_per_s;
}

const POLICIES = [SESAMEQUAY, ROUND_ROBIN, LEAST_CONNECTIONS];

/** Every named load. */
export const LOADS: NamedLoad[] = [
  {
    name: "steady",
    variants: POLICIES,
    workloads: createMixedWorkloads(0.7),
    duration_ms: 10_000,
    seeds: [1, 2],
  },
  {
    name: "nearly_full",
    variants: POLICIES,
    workloads: createMixedWorkloads(0.95),
    duration_ms: 12_000,
    seeds: [1, 2],
  },
  {
    name: "bulk_flood",
    variants: [SESAMEQUAY, ROUND_ROBIN, NO_EARLY_REJECTION, NO_GUARANTEE],
    workloads: [
      createWorkload("urgent", "urgent", 0.2 * CAPACITY_PER_S),
      createWorkload("normal", "normal", 0.3 * CAPACITY_PER_S),
      createWorkload("bulk", "bulk", OVERLOAD_FACTOR * CAPACITY_PER_S),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "urgent_flood",
    variants: [SESAMEQUAY, ROUND_ROBIN, NO_GUARANTEE],
    workloads: [
      createWorkload("urgent", "urgent", OVERLOAD_FACTOR * CAPACITY_PER_S),
      createWorkload("normal", "normal", 0.2 * CAPACITY_PER_S),
      createWorkload("bulk", "bulk", 0.05 * CAPACITY_PER_S),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "large_caller",
    variants: [
      SESAMEQUAY,
      { name: "sesamequay, large caller away", without: "large" },
      NO_ALLOWANCE,
      ROUND_ROBIN,
    ],
    workloads: [
      createWorkload("large", "normal", 20 * ALLOWANCE_PER_S, "large"),
      ...SMALL_CALLER_NUMBERS.map((number) =>
        createWorkload(
          "small",
          "normal",
          0.8 * ALLOWANCE_PER_S,
          `small-${number}`,
        )
      ),
    ],
    duration_ms: 10_000,
    seeds: [1],
  },
  {
    name: "endpoint_faults",
    variants: [SESAMEQUAY, ROUND_ROBIN, NO_EJECTION, NO_RETRY_BUDGET],
    workloads: createMixedWorkloads(0.4),
    events: [
      setFaultsAt(4_000, "khuree/encode-1", { slowdown: 10 }),
      setFaultsAt(4_000, "khuree/retrieve-1", { fail_every: 2 }),
      setFaultsAt(4_000, "khuree/rerank-1", { silent_every: 1 }),
    ],
    duration_ms: 16_000,
    seeds: [1],
    window_ms: 4_000,
  },
  {
    name: "zone_lost",
    variants: [SESAMEQUAY, ROUND_ROBIN],
    workloads: createMixedWorkloads(0.4),
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
    variants: [SESAMEQUAY, NO_EARLY_REJECTION],
    workloads: [
      createWorkload("urgent", "urgent", 0.2 * CAPACITY_PER_S),
      createWorkload("bulk", "bulk", burstRate(0.3 * CAPACITY_PER_S)),
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

function setFaultsAt(at_ms: number, name: string, faults: object): LoadEvent {
  return { at_ms, run: (fleet) => fleet.setEndpointFaults(name, faults) };
}
