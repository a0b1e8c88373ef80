/** Carries out the events of a schedule. */
import { setTimeout as sleep } from "node:timers/promises";
import type { EventLog } from "./event_log.ts";
import { SoakService } from "./manifest.ts";
import { LinkFault, LinkGroup } from "./network_faults.ts";
import {
  NextVersion,
  OutOfStepBy,
  type SoakEvent,
  SoakEventKind,
} from "./schedule.ts";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { SoakEndpoint } from "./soak_endpoint.ts";
import type { SoakHost } from "./soak_host.ts";

type EventOf<K extends SoakEventKind> = Extract<SoakEvent, { kind: K }>;

/** What events act on. */
export interface SoakStage {
  deployment: SoakDeployment;
  log: EventLog;
  /** Host at which callers take streams up now; undefined leaves it to them. */
  takeUpAt: SoakHost | undefined;
  /** Ends the schedule. */
  signal: AbortSignal;
}

/** Time until callers have begun streams at endpoints that have just joined. */
const STREAMS_BEGIN_MS = 700;
const MANY = 100;
/** Endpoints that have no work left stay for so long. */
const EXIT_DELAY_MS = 300;
const MIN_ENDPOINTS = 2;

/** Carries out all events in time, until the last or the signal ends it. */
export async function playSchedule(
  schedule: readonly SoakEvent[],
  stage: SoakStage,
): Promise<void> {
  await Promise.all(schedule.map(async (event) => {
    try {
      await pause(event.at_ms, stage);
      stage.log.add(`event ${JSON.stringify(event)}`);
      await playEvent(event, stage);
    } catch (error) {
      if (!stage.signal.aborted) throw error;
    }
  }));
}

async function pause(delay_ms: number, { signal }: SoakStage): Promise<void> {
  await sleep(delay_ms, undefined, { signal });
}

async function playEvent(event: SoakEvent, stage: SoakStage): Promise<void> {
  switch (event.kind) {
    case SoakEventKind.Freeze:
      return await freeze(hostsOf(stage, event.hosts), event.for_ms, stage);
    case SoakEventKind.Terminate:
      return await endHosts(
        [event.host],
        { ...event, signal: "SIGTERM" },
        stage,
      );
    case SoakEventKind.Kill:
      return await endHosts(
        event.hosts,
        { ...event, signal: "SIGKILL" },
        stage,
      );
    case SoakEventKind.Cut:
      return await cut(event, stage);
    case SoakEventKind.Release:
      return await release(event, stage);
    case SoakEventKind.RestartEndpoint:
      return await restartEndpoint(event, stage);
    case SoakEventKind.StopEndpoint:
      return await stopEndpoint(event, stage);
    case SoakEventKind.BreakRequests:
      return breakRequests(event, stage);
    case SoakEventKind.Publish:
      return stage.deployment.publish();
    case SoakEventKind.RestoreStore:
      return await restoreStore(event, stage);
    case SoakEventKind.OutOfStep:
      return await playOutOfStep(event, stage);
  }
}

function hostsOf({ deployment }: SoakStage, numbers: number[]): SoakHost[] {
  return numbers.map((number) => deployment.hosts[number] as SoakHost);
}

async function freeze(
  hosts: readonly SoakHost[],
  for_ms: number,
  stage: SoakStage,
): Promise<void> {
  const endDisturbance = stage.deployment.disturb(hosts);
  for (const host of hosts) host.signal("SIGSTOP");
  await pause(for_ms, stage);
  for (const host of hosts) host.signal("SIGCONT");
  endDisturbance();
}

async function endHosts(
  numbers: number[],
  { signal, down_ms }: { signal: "SIGTERM" | "SIGKILL"; down_ms: number },
  stage: SoakStage,
): Promise<void> {
  const hosts = hostsOf(stage, numbers);
  const endDisturbance = stage.deployment.disturb(hosts);
  await Promise.all(hosts.map(async (host) => {
    const { lifetimes } = host;
    host.signal(signal);
    await host.exited();
    await pause(down_ms, stage);
    // Another event may have started it again.
    const isDown = host.lifetimes === lifetimes;
    if (isDown && !stage.signal.aborted) await host.start();
  }));
  endDisturbance();
}

async function cut(
  { hosts: numbers, toward, fault, for_ms }: EventOf<SoakEventKind.Cut>,
  stage: SoakStage,
): Promise<void> {
  const { deployment } = stage;
  const hosts = hostsOf(stage, numbers);
  const endDisturbance = deployment.disturb(hosts);
  const end = deployment.faults.cut({
    hosts: addressesOf(hosts),
    toward,
    fault,
  });
  await pause(for_ms, stage);
  end();
  endDisturbance();
}

function addressesOf(hosts: readonly SoakHost[]): Set<string> {
  return new Set(hosts.map(({ options }) => options.ip));
}

async function release(
  { version, count, entry_late_ms, leavesSilently, linger_ms }: EventOf<
    SoakEventKind.Release
  >,
  stage: SoakStage,
): Promise<void> {
  const { deployment } = stage;
  const old = deployment.endpointsOf(SoakService.Model).slice(0, count);
  await join({ version, count, entry_late_ms }, stage);
  await Promise.all(old.map(async (endpoint) => {
    deployment.beginLeaving(endpoint, { silently: leavesSilently });
    await pause(linger_ms, stage);
    if (!leavesSilently) deployment.removeEntry(endpoint);
    await pause(EXIT_DELAY_MS, stage);
    endpoint.stop();
  }));
}

async function join(
  { version, count, entry_late_ms }: {
    version: NextVersion;
    count: number;
    entry_late_ms: number;
  },
  stage: SoakStage,
): Promise<SoakEndpoint[]> {
  const { deployment } = stage;
  const software = deployment.nextVersion(version);
  const joined: SoakEndpoint[] = [];
  for (let n = 0; n < count; n++) {
    joined.push(await deployment.addEndpoint(SoakService.Model, software));
  }
  await pause(entry_late_ms, stage);
  for (const endpoint of joined) deployment.register(endpoint);
  return joined;
}

function choose(
  choice: number,
  endpoints: readonly SoakEndpoint[],
): SoakEndpoint | undefined {
  return endpoints[Math.floor(choice * endpoints.length)];
}

async function restartEndpoint(
  { choice, version, down_ms, entry_late_ms }: EventOf<
    SoakEventKind.RestartEndpoint
  >,
  stage: SoakStage,
): Promise<void> {
  const { deployment, log, signal } = stage;
  const endpoint = choose(choice, deployment.endpointsOf(SoakService.Model));
  if (endpoint === undefined || endpoint.isRestarting) return;
  const software = deployment.nextVersion(version);
  log.add(`endpoint=${endpoint.id} restarts version=${software}`);
  deployment.endServing(endpoint);
  await endpoint.restart(software, down_ms);
  if (signal.aborted) return endpoint.stop();
  log.add(`endpoint=${endpoint.id} is back`);
  await pause(entry_late_ms, stage);
  if (deployment.endpointsOf(SoakService.Model).includes(endpoint)) {
    deployment.register(endpoint);
  }
}

async function stopEndpoint(
  { choice, entry_late_ms }: EventOf<SoakEventKind.StopEndpoint>,
  stage: SoakStage,
): Promise<void> {
  const { deployment, log } = stage;
  const endpoints = deployment.endpointsOf(SoakService.Model);
  const endpoint = choose(choice, endpoints);
  if (endpoint === undefined || endpoints.length <= MIN_ENDPOINTS) return;
  log.add(`endpoint=${endpoint.id} stops`);
  deployment.endServing(endpoint);
  endpoint.stop();
  await pause(entry_late_ms, stage);
  deployment.removeEntry(endpoint);
}

function breakRequests(
  { choice, count }: EventOf<SoakEventKind.BreakRequests>,
  { deployment, log }: SoakStage,
): void {
  const endpoint = choose(choice, [
    ...deployment.endpointsOf(SoakService.Model),
    ...deployment.endpointsOf(SoakService.Desk),
  ]);
  if (endpoint === undefined) return;
  log.add(`endpoint=${endpoint.id} breaks=${count}`);
  endpoint.breaks += count;
}

async function restoreStore(
  { copied_before_ms, rewrite_ms }: EventOf<SoakEventKind.RestoreStore>,
  stage: SoakStage,
): Promise<void> {
  const { deployment } = stage;
  const copy = deployment.store.copy();
  await pause(copied_before_ms, stage);
  const endDisturbance = deployment.disturb(deployment.hosts);
  deployment.restoreStore(copy);
  await pause(rewrite_ms, stage);
  deployment.writeAgain();
  endDisturbance();
}

async function playOutOfStep(
  { host: number, by, for_ms }: EventOf<SoakEventKind.OutOfStep>,
  stage: SoakStage,
): Promise<void> {
  const [host] = hostsOf(stage, [number]) as [SoakHost];
  const outOfStep = takeOutOfStep(host, { by, for_ms }, stage);
  const joined = await join(
    { version: NextVersion.New, count: 2, entry_late_ms: 100 },
    stage,
  );
  await pause(STREAMS_BEGIN_MS, stage);
  stage.takeUpAt = host;
  for (const endpoint of joined) {
    stage.deployment.endServing(endpoint);
    endpoint.breaks += MANY;
  }
  await outOfStep;
  for (const endpoint of joined) endpoint.breaks = 0;
  stage.takeUpAt = undefined;
}

async function takeOutOfStep(
  host: SoakHost,
  { by, for_ms }: { by: OutOfStepBy; for_ms: number },
  stage: SoakStage,
): Promise<void> {
  if (by === OutOfStepBy.Freeze) return await freeze([host], for_ms, stage);
  const hosts = new Set([host.options.ip]);
  const groups = by === OutOfStepBy.HostsCut
    ? [LinkGroup.Hosts]
    : [LinkGroup.Hosts, LinkGroup.Store];
  const { deployment } = stage;
  const endDisturbance = deployment.disturb([host]);
  const ends = groups.map((toward) =>
    deployment.faults.cut({ hosts, toward, fault: LinkFault.Silent })
  );
  await pause(for_ms, stage);
  for (const end of ends) end();
  endDisturbance();
}
