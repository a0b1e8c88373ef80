/** Runs a scenario over real processes. */
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
  sendRequest,
  type SentRequest,
} from "./sent_request.ts";

/** What a scenario showed. */
export interface ScenarioResult {
  /** By group of requests. */
  violations: Record<string, Violations & { sent: number }>;
  /** Expectations that did not hold, in words. */
  unmetExpectations: string[];
}

/** An operator whose answer is lost does not know, and goes on. */
function ignoreLostAnswer(): void {}

const EVENTUALLY_POLL_MS = 50;
const CALLS_POLL_MS = 10;
/** Longest time for `until_called`. */
const CALLS_LIMIT_MS = 20_000;

/** Runs a scenario; `program` replaces the sources as what hosts run. */
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
  #steps = new Map<string, SendStep>();
  #background = new Map<string, Promise<void>>();
  #marks = new Map<string, number>();
  #ended = new Set<string>();
  #unmet: string[] = [];

  constructor(scenario: Scenario, program: string | undefined) {
    this.#scenario = scenario;
    this.#fleet = new Fleet({
      hosts: scenario.hosts,
      endpoints: sampleEndpoints(),
      records: sampleRecords(),
      settings: scenario.settings as Record<string, object> | undefined,
      program,
      reroute: (part, address) => this.#reroute(part, address),
    });
  }

  async run(): Promise<ScenarioResult> {
    await this.#fleet.start();
    for (const step of this.#scenario.steps) await this.#step(step);
    await Promise.all(this.#background.values());
    const executions = await countExecutions(this.#fleet);
    const verdicts: ScenarioResult["violations"] = {};
    for (const [group, requests] of this.#groups) {
      const nonIdempotent = this.#steps.get(group)?.non_idempotent ?? false;
      const verdict = countViolations(requests, executions, nonIdempotent);
      verdicts[group] = { sent: requests.length, ...verdict };
    }
    return { violations: verdicts, unmetExpectations: this.#unmet };
  }

  async stop(): Promise<void> {
    await this.#fleet.stop();
    for (const link of this.#links.values()) link.stop();
  }

  async #reroute(part: string, address: string): Promise<string> {
    if (!this.#scenario.links?.includes(part)) return address;
    const link = new TcpLink(address);
    this.#links.set(part, link);
    return await link.start();
  }

  async #step(step: Step): Promise<void> {
    if ("send" in step) return await this.#startSending(step.send);
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
    if ("link" in step) return this.#changeLink(step.link);
    if ("put" in step) {
      return await this.#fleet.putRecords(step.put).catch(ignoreLostAnswer);
    }
    if ("remove" in step) return await this.#remove(step.remove);
    if ("race" in step) return await this.#race(step.race);
    if ("leave" in step) return await this.#leave(step.leave);
    if ("mark" in step) return await this.#mark(step.mark);
    if ("expect" in step) return await this.#expect(step.expect);
    if ("eventually" in step) return await this.#eventually(step);
    await this.#signal(step);
  }

  async #signal(step: Step): Promise<void> {
    if ("kill" in step) {
      this.#ended.add(step.kill);
      this.#processOf(step.kill).signal("SIGKILL");
      await this.#processOf(step.kill).exited;
    } else if ("freeze" in step) {
      this.#processOf(step.freeze).signal("SIGSTOP");
    } else if ("thaw" in step) {
      this.#processOf(step.thaw).signal("SIGCONT");
    } else if ("terminate" in step) {
      this.#ended.add(step.terminate);
      this.#processOf(step.terminate).signal("SIGTERM");
    } else if ("start_host" in step) {
      const host = await this.#fleet.startHost(step.start_host - 1);
      this.#ended.delete(host.name);
    }
  }

  #processOf(name: string) {
    const host = this.#fleet.hosts.find((each) => each.name === name);
    return (host ?? this.#fleet.endpoint(name)).process;
  }

  #changeLink(change: { to: string; do: string; direction?: Direction }): void {
    const link = this.#links.get(change.to);
    if (link === undefined) throw new Error(`There is no link ${change.to}`);
    const direction = change.direction ?? Direction.Both;
    if (change.do === "cut") link.cut(direction);
    if (change.do === "silence_open") link.silenceOpen(direction);
    if (change.do === "heal") link.heal();
  }

  async #startSending(step: SendStep): Promise<void> {
    this.#steps.set(step.group, step);
    this.#groups.set(step.group, []);
    const sending = this.#send(step);
    this.#background.set(step.group, sending);
    if (!step.background) await sending;
  }

  async #send(step: SendStep): Promise<void> {
    const sources = this.#sourcesFor(step);
    let next = 0;
    const worker = async () => {
      while (next < step.count) {
        const position = next++;
        await this.#sendCopies(step, position, sources[position]);
      }
    };
    if (step.interval_ms !== undefined) {
      await this.#sendAtIntervals(step, sources);
      return;
    }
    const workers = Array.from({ length: step.concurrency ?? 1 }, worker);
    await Promise.all(workers);
  }

  async #sendAtIntervals(
    step: SendStep,
    sources: readonly RequestInput[],
  ): Promise<void> {
    const sent: Promise<void>[] = [];
    for (let position = 0; position < step.count; position++) {
      sent.push(this.#sendCopies(step, position, sources[position]));
      await sleep(step.interval_ms);
    }
    await Promise.all(sent);
  }

  #sourcesFor(step: SendStep): RequestInput[] {
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
    const source = repeated ?? {
      input: `in-${step.group}-${position}`,
      idempotency_key: await createIdempotencyKey(step, first),
    };
    const copies = Array.from({ length: step.copies ?? 1 }, (_, copy) => {
      const host = hosts[(position + copy) % hosts.length] ?? first;
      return sendRequest(host, step, source);
    });
    const results = await Promise.all(copies);
    this.#groups.get(step.group)?.push(...results);
  }

  #hostsFor(step: SendStep): StartedHost[] {
    if (step.hosts === undefined) return this.#liveHosts();
    return step.hosts.flatMap((number) => this.#fleet.hosts[number - 1] ?? []);
  }

  #liveHosts(): StartedHost[] {
    return this.#fleet.hosts.filter((host) => !this.#ended.has(host.name));
  }

  async #remove(key: string): Promise<void> {
    const path = `/objects/records/${key}`;
    await postJson(this.#fleet.platform, path, null, { method: "DELETE" });
  }

  async #race(
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
            .catch(ignoreLostAnswer)
        ),
      );
    }
  }

  async #leave(name: string): Promise<void> {
    const endpoint = this.#fleet.endpoint(name);
    await this.#fleet.putRecords([this.#fleet.endpointRecord(endpoint, true)]);
  }

  async #waitForCalls(
    { until_called }: { until_called: { name: string; times: number } },
  ): Promise<void> {
    const { name, times } = until_called;
    const end_ms = performance.now() + CALLS_LIMIT_MS;
    while (await countCalls(this.#fleet, name) < times) {
      if (performance.now() > end_ms) throw new Error(`${name} is not called`);
      await sleep(CALLS_POLL_MS);
    }
  }

  async #mark(name: string): Promise<void> {
    this.#marks.set(name, await countCalls(this.#fleet, name));
  }

  async #expect(expectation: Expectation): Promise<void> {
    this.#unmet.push(...await this.#problems(expectation));
  }

  async #eventually(
    step: { eventually: Expectation; within_ms: number },
  ): Promise<void> {
    const end_ms = performance.now() + step.within_ms;
    let problems = await this.#problems(step.eventually);
    while (problems.length > 0 && performance.now() < end_ms) {
      await sleep(EVENTUALLY_POLL_MS);
      problems = await this.#problems(step.eventually);
    }
    this.#unmet.push(...problems);
  }

  #problems(expectation: Expectation): Promise<string[]> {
    return findUnmetExpectations(expectation, {
      fleet: this.#fleet,
      liveHosts: () => this.#liveHosts(),
      group: (name) => this.#groups.get(name) ?? [],
      callCountsAtMark: this.#marks,
    });
  }
}
