/** Routing of entry hosts: choice, state and health of endpoints, and retries. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  AttemptOutcome,
  type AttemptResult,
} from "../../src/endpoints/attempt.ts";
import { parseLoadReport } from "../../src/endpoints/load_report.ts";
import { type Endpoint, RecordKind } from "../../src/records/types.ts";
import {
  type Candidate,
  ChoiceReason,
  chooseEndpoint,
} from "../../src/routing/choose_endpoint.ts";
import {
  createHealth,
  HealthState,
  isUsable,
  recordCallResult,
  startProbeIfEjected,
} from "../../src/routing/endpoint_health.ts";
import {
  EndpointState,
  EndpointStates,
} from "../../src/routing/endpoint_state.ts";
import {
  RETRIES_PER_CALL,
  RetryBudget,
} from "../../src/routing/retry_budget.ts";
import { RoutingPolicy } from "../../src/routing/types.ts";
import { createSeededRandom } from "../../stand_ins/load/load.ts";

function endpoint(name: string): Endpoint {
  return {
    kind: RecordKind.Endpoint,
    fleet: "khuree",
    name,
    pool: { fleet: "khuree", name: "encode" },
    address: "127.0.0.1:1",
    availability_zone: "az-1",
    slots: 4,
    checks_fencing: false,
    leaving: false,
  };
}

function result(outcome: AttemptOutcome, elapsed_ms: number): AttemptResult {
  return {
    outcome,
    sent: true,
    output: undefined,
    cost: 0,
    elapsed_ms,
    first_byte_ms: 0,
    load: undefined,
    leaving: false,
    message: "",
  };
}

function candidate(name: string, service_ms: number): Candidate {
  const state = new EndpointState();
  for (let call = 0; call < 16; call++) {
    state.record(result(AttemptOutcome.Completed, service_ms), 0);
  }
  return { endpoint: endpoint(name), state, slots: 4 };
}

function context(policy: RoutingPolicy, now_ms = 0) {
  return {
    policy,
    availability_zone: "az-1",
    tried: new Set<string>(),
    turn: 0,
    remaining_ms: 10_000,
    now_ms,
    random: createSeededRandom(1),
  };
}

test("a call goes to the endpoint expected to complete it first", (t) => {
  const candidates = [
    candidate("fast", 10),
    candidate("medium", 20),
    candidate("slow", 40),
  ];
  const options = context(RoutingPolicy.ExpectedCompletion);
  const counts = new Map<string, number>();
  for (let call = 0; call < 24; call++) {
    const choice = chooseEndpoint(candidates, options);
    assert.ok(choice !== undefined);
    choice.candidate.state.in_flight += 1;
    const { name } = choice.candidate.endpoint;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  t.assert.snapshot([...counts]);
});

test("leaving endpoints are never chosen, tried ones only if no other is left", () => {
  const [first, second] = [candidate("first", 1), candidate("second", 90)];
  const tried = {
    ...context(RoutingPolicy.ExpectedCompletion),
    tried: new Set(["first"]),
  };
  const choose = (candidates: Candidate[]) =>
    chooseEndpoint(candidates, tried)?.candidate.endpoint.name;
  assert.equal(choose([first, second]), "second");
  assert.equal(choose([first]), "first");
  first.state.leaving = true;
  assert.equal(choose([first]), undefined);
});

test("an endpoint whose calls were slow is tried again after idle time", () => {
  const bad = candidate("bad", 500);
  const good = candidate("good", 20);
  const later = context(RoutingPolicy.ExpectedCompletion, 20_000);
  good.state.record(result(AttemptOutcome.Completed, 20), 20_000);
  const choice = chooseEndpoint([bad, good], later);
  assert.equal(choice?.candidate.endpoint.name, "bad");
  assert.equal(choice?.reason, ChoiceReason.ExpectedFirst);
});

test("failures eject an endpoint for a doubling time, then one call probes it", (t) => {
  const health = createHealth();
  const states: string[] = [];
  const note = (what: string) =>
    states.push(`${what}: ${health.state} until ${health.ejected_until_ms}`);
  for (let call = 0; call < 4; call++) {
    recordCallResult(health, { succeeded: false, now_ms: 0 });
  }
  note("four failures");
  assert.ok(!isUsable(health, 499));
  assert.ok(isUsable(health, 500));
  startProbeIfEjected(health);
  assert.ok(!isUsable(health, 500));
  recordCallResult(health, { succeeded: false, now_ms: 600 });
  note("failed probe");
  startProbeIfEjected(health);
  recordCallResult(health, { succeeded: true, now_ms: 2_000 });
  note("good probe");
  t.assert.snapshot(states);
});

test("a cancelled probe does not block the endpoint for ever", () => {
  const state = new EndpointState();
  for (let call = 0; call < 4; call++) {
    state.record(result(AttemptOutcome.Truncated, 1), 0);
  }
  startProbeIfEjected(state.health);
  state.record(result(AttemptOutcome.Cancelled, 1), 600);
  assert.equal(state.health.state, HealthState.Ejected);
  assert.ok(isUsable(state.health, 600 + 1_000));
});

test("ejections are ignored if more than half of a pool is ejected", () => {
  const candidates = ["a", "b", "c"].map((name) => candidate(name, 10));
  for (const { state } of candidates.slice(0, 2)) {
    for (let call = 0; call < 4; call++) {
      state.record(result(AttemptOutcome.Failed, 10), 0);
    }
  }
  const chosen = new Set<string>();
  const options = context(RoutingPolicy.RoundRobin);
  for (let turn = 0; turn < 3; turn++) {
    const choice = chooseEndpoint(candidates, { ...options, turn });
    chosen.add(choice?.candidate.endpoint.name ?? "");
  }
  assert.equal(chosen.size, 3);
});

test("retries stay within their share of first calls", () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 2_000 }), (steps) => {
      const budget = new RetryBudget();
      let calls = 0;
      let retries = 0;
      for (const isRetry of steps) {
        if (!isRetry) {
          calls += 1;
          budget.recordCall();
        } else if (budget.tryTake()) retries += 1;
      }
      assert.ok(retries <= 3 + calls * RETRIES_PER_CALL + 1e-6);
    }),
    { seed: 3 },
  );
});

test("load reports are parsed in both formats, malformed ones are ignored", (t) => {
  t.assert.snapshot([
    "TEXT cpu_utilization=0.1, application_utilization=0.75",
    'JSON {"application_utilization": 1.25}',
    "JSON {",
    "TEXT nothing",
    undefined,
  ].map((header) => parseLoadReport(header)?.utilization ?? "none"));
});

test("an endpoint that cannot finish a call in time is not chosen", () => {
  const candidates = [candidate("fast", 100), candidate("slow", 400)];
  const choose = (remaining_ms: number) =>
    chooseEndpoint(candidates, {
      ...context(RoutingPolicy.ExpectedCompletion),
      remaining_ms,
    })?.candidate.endpoint.name;
  assert.equal(choose(200), "fast");
  assert.equal(choose(50), undefined);
});

test("an endpoint that reported leaving is used again after its record was marked and unmarked", () => {
  const states = new EndpointStates();
  const serving = endpoint("a");
  states.markLeaving(serving);
  states.sync([serving]);
  assert.ok(states.forEndpoint(serving).leaving);
  states.sync([{ ...serving, leaving: true }]);
  states.sync([serving]);
  assert.ok(!states.forEndpoint(serving).leaving);
});

test("an endpoint that fails half its calls is avoided, and tried again later", () => {
  const [failing, healthy] = [
    candidate("failing", 10),
    candidate("healthy", 10),
  ];
  for (let call = 0; call < 20; call++) {
    const outcome = call % 2 === 0
      ? AttemptOutcome.Completed
      : AttemptOutcome.Failed;
    failing.state.record(result(outcome, 10), 0);
  }
  const choose = (now_ms: number) =>
    chooseEndpoint(
      [failing, healthy],
      context(RoutingPolicy.ExpectedCompletion, now_ms),
    )?.candidate.endpoint.name;
  assert.equal(choose(0), "healthy");
  healthy.state.record(result(AttemptOutcome.Completed, 10), 10_000);
  assert.equal(choose(10_000), "failing");
});
