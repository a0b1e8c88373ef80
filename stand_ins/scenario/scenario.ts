/**
 * Schema of scenario files: YAML that starts a fleet, sends requests, injects
 * faults and states what must hold.
 */
import { z } from "zod";
import {
  parseLocatedDocument,
  validateDocument,
} from "../../src/findings/located_document.ts";
import type { CheckResult } from "../../src/findings/finding.ts";
import { Direction } from "../tcp_link.ts";

/** Where the idempotency keys of a group's requests come from. */
export enum IdempotencyKeySource {
  None = "none",
  /** Minted with POST /v1/keys by the first host that receives the request. */
  Minted = "minted",
  /** A version 7 UUID chosen by the caller. */
  CallerSupplied = "caller",
}

const sendSchema = z.strictObject({
  group: z.string(),
  pipeline: z.string(),
  key: z.string().optional(),
  rank: z.string().optional(),
  count: z.int().positive(),
  concurrency: z.int().positive().optional(),
  /**
   * Numbers (from 1) of the hosts to send to in turn; all live ones by default.
   */
  hosts: z.array(z.int().positive()).optional(),
  stream: z.boolean().optional(),
  non_idempotent: z.boolean().optional(),
  idempotency: z.enum(IdempotencyKeySource).optional(),
  /** Number of hosts that receive the same request with the same key. */
  copies: z.int().positive().optional(),
  /** Name of an earlier group whose inputs and keys are sent again. */
  repeat: z.string().optional(),
  deadline_ms: z.int().positive().optional(),
  /**
   * Interval between requests; without it, `concurrency` workers (one by
   * default) each send the next request once the previous one has ended.
   */
  interval_ms: z.int().positive().optional(),
  /** Run the next step without waiting; a `join` step waits for the group. */
  background: z.boolean().optional(),
});

const expectSchema = z.strictObject({
  /** Every request of the group was completed. */
  all_completed: z.string().optional(),
  /** At least this share of the group was completed. */
  completed_share: z.strictObject({
    group: z.string(),
    at_least: z.number().min(0).max(1),
  }).optional(),
  /** Every outcome in the group is one of these. */
  outcomes_among: z.strictObject({
    group: z.string(),
    outcomes: z.array(z.string()).min(1),
  }).optional(),
  /** Every live host is at the generation of the accepted configuration. */
  same_generation: z.boolean().optional(),
  /** Every live host is at this generation or a later one. */
  generation_at_least: z.int().optional(),
  /**
   * Key of a record that the accepted configuration contains, while every live
   * host is at the generation of that configuration.
   */
  in_force: z.string().optional(),
  /** No endpoint executed a stage for this group's requests. */
  never_run: z.string().optional(),
  /** The endpoint has received no calls since its `mark` step. */
  no_new_calls: z.string().optional(),
  /** The host has exited with this code. */
  exited: z.strictObject({ host: z.int(), code: z.int() }).optional(),
  /** Expected model by engine. */
  models: z.record(z.string(), z.string()).optional(),
  /** The findings about the records contain this text. */
  finding: z.string().optional(),
});

const stepSchema = z.union([
  z.strictObject({ send: sendSchema }),
  z.strictObject({ join: z.string() }),
  z.strictObject({ wait_ms: z.int().positive() }),
  /** Waits until the endpoint has received this many calls. */
  z.strictObject({
    until_called: z.strictObject({
      name: z.string(),
      times: z.int().positive(),
    }),
  }),
  z.strictObject({ platform: z.record(z.string(), z.unknown()) }),
  z.strictObject({
    endpoint: z.strictObject({
      name: z.string(),
      faults: z.record(z.string(), z.unknown()),
    }),
  }),
  z.strictObject({
    link: z.strictObject({
      to: z.string(),
      do: z.enum(["cut", "silence_open", "heal"]),
      direction: z.enum(Direction).optional(),
    }),
  }),
  z.strictObject({ kill: z.string() }),
  z.strictObject({ freeze: z.string() }),
  z.strictObject({ thaw: z.string() }),
  z.strictObject({ terminate: z.string() }),
  z.strictObject({ start_host: z.int().positive() }),
  z.strictObject({ put: z.array(z.record(z.string(), z.unknown())) }),
  z.strictObject({ remove: z.string() }),
  z.strictObject({
    race: z.strictObject({
      record: z.record(z.string(), z.unknown()),
      field: z.string(),
      values: z.array(z.unknown()).min(2),
      rounds: z.int().positive(),
    }),
  }),
  z.strictObject({ leave: z.string() }),
  z.strictObject({ mark: z.string() }),
  z.strictObject({ expect: expectSchema }),
  z.strictObject({ eventually: expectSchema, within_ms: z.int().positive() }),
]);

const scenarioSchema = z.strictObject({
  name: z.string(),
  /** The guarantee that the scenario tests. */
  promise: z.string(),
  hosts: z.int().positive(),
  /** Merged into every host's settings, section by section. */
  settings: z.record(z.string(), z.record(z.string(), z.unknown())).optional(),
  /** Names of the processes that are reached through a `TcpLink`. */
  links: z.array(z.string()).optional(),
  steps: z.array(stepSchema).min(1),
  /**
   * Source edits that disable a mechanism; the scenario must fail with each.
   */
  broken_variants: z.array(z.strictObject({
    name: z.string(),
    file: z.string(),
    replace: z.string(),
    with: z.string(),
  })).optional(),
});

/** A parsed scenario file. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** A step of a scenario. */
export type Step = Scenario["steps"][number];
/** Parameters of a `send` step. */
export type SendStep = z.infer<typeof sendSchema>;
/** Conditions of an `expect` or `eventually` step. */
export type Expectation = z.infer<typeof expectSchema>;
/** A source edit that disables a mechanism. */
export type BrokenVariant = NonNullable<Scenario["broken_variants"]>[number];

/** Parses a scenario file; a failed result contains every finding. */
export function parseScenario(
  file: string,
  text: string,
): CheckResult<Scenario> {
  const located = parseLocatedDocument(file, text);
  return located.ok ? validateDocument(located.value, scenarioSchema) : located;
}
