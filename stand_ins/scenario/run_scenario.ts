/** Runs a scenario against a fleet of real processes. */
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet, type StartedHost } from "../fleet.ts";
import { postJson } from "../json_client.ts";
import { sampleEndpoints, sampleRecords } from "../sample_records.ts";
import { Direction, TcpLink } from "../tcp_link.ts";
import { countCalls, findUnmetExpectations } from "./expectations.ts";
import {
  countExecutions,
  countViolations,
  type Violations,
} from "./violations.ts";
import type { Expectation, Scenario, SendStep, Step } from "./scenario.ts";
import {
  createIdempotencyKey,
  type RequestInput,
  sendScenarioRequest,
  type SentRequest,
} from "./sent_request.ts";

/** Result of running a scenario. */
export interface ScenarioResult {
  /** Number of requests sent and violations counted, by request group. */
  violations: Record<string, Violations & { sent: number }>;
  /** Descriptions of the expectations that did not hold. */
  unmetExpectations: string[];
}

/** An operator whose response is lost cannot know the result and goes on. */
function ignoreLostResponse(): void {}

const EVENTUALLY_POLL_INTERVAL_MS = 50;
const UNTIL_CALLED_POLL_INTERVAL_MS = 10;
const UNTIL_CALLED_TIMEOUT_MS = 20_000;

/**
 * Runs a scenario and stops its processes. Hosts run the bundle `program`, or
 * the sources if it is left out. Rejects if a step cannot be carried out.
 */
export async function runScenario(
  scenario: Scenario,
  program?: string,
): Promise<ScenarioResult> {
  const run = new ScenarioRun(scenario, program);
  try {
    return await run.run();
  } finally {
    await run.stop();
  }
}

class ScenarioRun {
  readonly #scenario: Scenario;
  readonly #fleet: Fleet;
  #links = new Map<string, TcpLink>();
  #groups = new Map<string, SentRequest[]>();
  #sendSteps = new Map<string, SendStep>();
  #background = new Map<string, Promise<void>>();
  #callCountsAtMark = new Map<string, number>();
  #stopped = new Set<string>();
  #unmetExpectations: string[] = [];

  constructor(scenario: Scenario, program: string | undefined) {
    this.#scenario = scenario;
    this.#fleet = new Fleet({
      hosts: scenario.hosts,
      endpoints: sampleEndpoints(),
      records: sampleRecords(),
      settings: scenario.settings as Record<string, object> | undefined,
      program,
      reroute: (name, address) => this.#reroute(name, address),
    });
  }

  async run(): Promise<ScenarioResult> {
    await this.#fleet.start();
    for (const step of this.#scenario.steps) await this.#runStep(step);
    await Promise.all(this.#background.values());
    const executions = await countExecutions(this.#fleet);
    const violations: ScenarioResult["violations"] = {};
    for (const [group, requests] of this.#groups) {
      const isNonIdempotent = this.#sendSteps.get(group)?.non_idempotent ??
        false;
      const counts = countViolations(requests, executions, isNonIdempotent);
      violations[group] = { sent: requests.length, ...counts };
    }
    return { violations, unmetExpectations: this.#unmetExpectations };
  }

  async stop(): Promise<void> {
    await this.#fleet.stop();
    for (const link of this.#links.values()) link.stop();
  }

  async #reroute(name: string, address: string): Promise<string> {
    if (!this.#scenario.links?.includes(name)) return address;
    const link = new TcpLink(address);
    this.#links.set(name, link);
    return await link.start();
  }

  async #runStep(step: Step): Promise<void> {
    if ("send" in step) return await this.#runSend(step.send);
    if ("join" in step) return await this.#background.get(step.join);
    if ("wait_ms" in step) return await sleep(step.wait_ms);
    if ("until_called" in step) return await this.#waitForCalls(step);
    if ("platform" in step) {
      return await this.#fleet.setPlatformFaults(step.platform);
    }
    if ("endpoint" in step) {
      const { name, faults } = step.endpoint;
      return await this.#fleet.setEndpointFaults(name, faults);
    }
    if ("link" in step) return this.#setLinkFault(step.link);
    if ("put" in step) {
      return await this.#fleet.putRecords(step.put).catch(ignoreLostResponse);
    }
    if ("remove" in step) return await this.#removeRecord(step.remove);
    if ("race" in step) return await this.#putConcurrently(step.race);
    if ("leave" in step) return await this.#markLeaving(step.leave);
    if ("mark" in step) return await this.#recordCallCount(step.mark);
    if ("expect" in step) return await this.#expect(step.expect);
    if ("eventually" in step) return await this.#expectEventually(step);
    await this.#controlProcess(step);
  }

  async #controlProcess(step: Step): Promise<void> {
    if ("kill" in step) {
      this.#stopped.add(step.kill);
      this.#findProcess(step.kill).signal("SIGKILL");
      await this.#findProcess(step.kill).exited;
    } else if ("freeze" in step) {
      this.#findProcess(step.freeze).signal("SIGSTOP");
    } else if ("thaw" in step) {
      this.#findProcess(step.thaw).signal("SIGCONT");
    } else if ("terminate" in step) {
      this.#stopped.add(step.terminate);
      this.#findProcess(step.terminate).signal("SIGTERM");
    } else if ("start_host" in step) {
      const host = await this.#fleet.startHost(step.start_host - 1);
      this.#stopped.delete(host.name);
    }
  }

  #findProcess(name: string) {
    const host = this.#fleet.hosts.find((each) => each.name === name);
    return (host ?? this.#fleet.endpoint(name)).process;
  }

  #setLinkFault(
    change: { to: string; do: string; direction?: Direction },
  ): void {
    const link = this.#links.get(change.to);
    if (link === undefined) throw new Error(`There is no link ${change.to}`);
    const direction = change.direction ?? Direction.Both;
    if (change.do === "cut") link.cut(direction);
    if (change.do === "silence_open") link.silenceOpen(direction);
    if (change.do === "heal") link.heal();
  }

  async #runSend(step: SendStep): Promise<void> {
    this.#sendSteps.set(step.group, step);
    this.#groups.set(step.group, []);
    const sending = this.#send(step);
    this.#background.set(step.group, sending);
    if (!step.background) await sending;
  }

  async #send(step: SendStep): Promise<void> {
    const repeated = this.#repeatedInputs(step);
    let next = 0;
    const worker = async () => {
      while (next < step.count) {
        const position = next++;
        await this.#sendCopies(step, position, repeated[position]);
      }
    };
    if (step.interval_ms !== undefined) {
      await this.#sendAtIntervals(step, repeated);
      return;
    }
    const workers = Array.from({ length: step.concurrency ?? 1 }, worker);
    await Promise.all(workers);
  }

  async #sendAtIntervals(
    step: SendStep,
    repeated: readonly RequestInput[],
  ): Promise<void> {
    const sent: Promise<void>[] = [];
    for (let position = 0; position < step.count; position++) {
      sent.push(this.#sendCopies(step, position, repeated[position]));
      await sleep(step.interval_ms);
    }
    await Promise.all(sent);
  }

  #repeatedInputs(step: SendStep): RequestInput[] {
    if (step.repeat === undefined) return [];
    const earlier = this.#groups.get(step.repeat) ?? [];
    return earlier.slice(0, step.count).map((request) => ({
      input: request.input,
      idempotency_key: request.idempotency_key,
    }));
  }

  async #sendCopies(
    step: SendStep,
    position: number,
    repeated: RequestInput | undefined,
  ): Promise<void> {
    const hosts = this.#hostsFor(step);
    const first = hosts[position % hosts.length];
    if (first === undefined) throw new Error("There is no host to send to");
    const requestInput = repeated ?? {
      input: `in-${step.group}-${position}`,
      idempotency_key: await createIdempotencyKey(step, first),
    };
    const copies = Array.from({ length: step.copies ?? 1 }, (_, copy) => {
      const host = hosts[(position + copy) % hosts.length] ?? first;
      return sendScenarioRequest(host, step, requestInput);
    });
    const results = await Promise.all(copies);
    this.#groups.get(step.group)?.push(...results);
  }

  #hostsFor(step: SendStep): StartedHost[] {
    if (step.hosts === undefined) return this.#liveHosts();
    return step.hosts.flatMap((number) => this.#fleet.hosts[number - 1] ?? []);
  }

  #liveHosts(): StartedHost[] {
    return this.#fleet.hosts.filter((host) => !this.#stopped.has(host.name));
  }

  async #removeRecord(key: string): Promise<void> {
    const path = `/objects/records/${key}`;
    await postJson(this.#fleet.platform, path, null, { method: "DELETE" });
  }

  async #putConcurrently(
    race: {
      record: Record<string, unknown>;
      field: string;
      values: unknown[];
      rounds: number;
    },
  ): Promise<void> {
    for (let round = 0; round < race.rounds; round++) {
      await Promise.all(
        race.values.map((value) =>
          this.#fleet.putRecords([{ ...race.record, [race.field]: value }])
            .catch(ignoreLostResponse)
        ),
      );
    }
  }

  async #markLeaving(name: string): Promise<void> {
    const endpoint = this.#fleet.endpoint(name);
    await this.#fleet.putRecords([this.#fleet.endpointRecord(endpoint, true)]);
  }

  async #waitForCalls(
    { until_called }: { until_called: { name: string; times: number } },
  ): Promise<void> {
    const { name, times } = until_called;
    const end_ms = performance.now() + UNTIL_CALLED_TIMEOUT_MS;
    while (await countCalls(this.#fleet, name) < times) {
      if (performance.now() > end_ms) throw new Error(`${name}: too few calls`);
      await sleep(UNTIL_CALLED_POLL_INTERVAL_MS);
    }
  }

  async #recordCallCount(name: string): Promise<void> {
    this.#callCountsAtMark.set(name, await countCalls(this.#fleet, name));
  }

  async #expect(expectation: Expectation): Promise<void> {
    this.#unmetExpectations.push(...await this.#findUnmet(expectation));
  }

  async #expectEventually(
    step: { eventually: Expectation; within_ms: number },
  ): Promise<void> {
    const end_ms = performance.now() + step.within_ms;
    let unmet = await this.#findUnmet(step.eventually);
    while (unmet.length > 0 && performance.now() < end_ms) {
      await sleep(EVENTUALLY_POLL_INTERVAL_MS);
      unmet = await this.#findUnmet(step.eventually);
    }
    this.#unmetExpectations.push(...unmet);
  }

  #findUnmet(expectation: Expectation): Promise<string[]> {
    return findUnmetExpectations(expectation, {
      fleet: this.#fleet,
      liveHosts: () => this.#liveHosts(),
      group: (name) => this.#groups.get(name) ?? [],
      callCountsAtMark: this.#callCountsAtMark,
    });
  }
}
