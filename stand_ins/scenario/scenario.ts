/**
 * The scenario language: a small YAML language that starts a fleet, sends
 * requests, makes parts fail and says what must hold.
 */
import { z } from "zod";
import {
  parseLocatedDocument,
  validateDocument,
} from "../../src/findings/located_document.ts";
import type { CheckResult } from "../../src/findings/finding.ts";
import { Direction } from "../tcp_link.ts";

/** How the requests of a group are keyed. */
export enum IdempotencyKeySource {
  None = "none",
  /** A key from POST /v1/keys of the first host that gets the request. */
  Minted = "minted",
  /** A UUID of version 7. */
  CallerSupplied = "caller",
}

const sendSchema = z.strictObject({
  group: z.string(),
  pipeline: z.string(),
  key: z.string().optional(),
  rank: z.string().optional(),
  count: z.int().positive(),
  concurrency: z.int().positive().optional(),
  /** Numbers of the hosts to send to, in turn; all by default. */
  hosts: z.array(z.int().positive()).optional(),
  stream: z.boolean().optional(),
  non_idempotent: z.boolean().optional(),
  idempotency: z.enum(IdempotencyKeySource).optional(),
  /** How many hosts get the same request with the same key. */
  copies: z.int().positive().optional(),
  /** Send the requests of an earlier group again, with their keys. */
  repeat: z.string().optional(),
  deadline_ms: z.int().positive().optional(),
  /** Time between two requests; they go one after another without it. */
  interval_ms: z.int().positive().optional(),
  /** Go on with the next step; `join` waits for the group. */
  background: z.boolean().optional(),
});

const expectSchema = z.strictObject({
  /** Every request of the group was completed. */
  all_completed: z.string().optional(),
  /** At least this part of the group was completed. */
  completed_share: z.strictObject({
    group: z.string(),
    at_least: z.number().min(0).max(1),
  }).optional(),
  /** The group has no other outcomes than these. */
  outcomes_among: z.strictObject({
    group: z.string(),
    outcomes: z.array(z.string()).min(1),
  }).optional(),
  /** Every live host has the same generation, and the records in force. */
  same_generation: z.boolean().optional(),
  /** The generation of every live host reaches this. */
  generation_at_least: z.int().optional(),
  /** A record's key: accepted, and every live host has that generation. */
  in_force: z.string().optional(),
  /** A stage ran nowhere for this group's requests. */
  never_run: z.string().optional(),
  /** The endpoint's calls since it was marked. */
  no_new_calls: z.string().optional(),
  /** The host has exited with this code. */
  exited: z.strictObject({ host: z.int(), code: z.int() }).optional(),
  /** Engines and the model that each serves. */
  models: z.record(z.string(), z.string()).optional(),
  /** Findings about the records name this text. */
  finding: z.string().optional(),
});

const stepSchema = z.union([
  z.strictObject({ send: sendSchema }),
  z.strictObject({ join: z.string() }),
  z.strictObject({ wait_ms: z.int().positive() }),
  /** Waits until the endpoint has been called that often. */
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
  /** The promise that the scenario is about. */
  promise: z.string(),
  hosts: z.int().positive(),
  /** Merged into every host's settings. */
  settings: z.record(z.string(), z.record(z.string(), z.unknown())).optional(),
  /** Parts that are reached through a link that can fail. */
  links: z.array(z.string()).optional(),
  steps: z.array(stepSchema).min(1),
  /** Changes to the sources under which the scenario must fail. */
  broken_variants: z.array(z.strictObject({
    name: z.string(),
    file: z.string(),
    replace: z.string(),
    with: z.string(),
  })).optional(),
});

/** A scenario. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One step. */
export type Step = Scenario["steps"][number];
/** What a `send` step says. */
export type SendStep = z.infer<typeof sendSchema>;
/** What an `expect` step says. */
export type Expectation = z.infer<typeof expectSchema>;
/** A change to the sources. */
export type BrokenVariant = NonNullable<Scenario["broken_variants"]>[number];

/** Parses a scenario; every finding is reported at once. */
export function parseScenario(
  file: string,
  text: string,
): CheckResult<Scenario> {
  const located = parseLocatedDocument(file, text);
  return located.ok ? validateDocument(located.value, scenarioSchema) : located;
}
