/** `evacuate`: lists, requests and cancels evacuations of availability zones. */
import { formatFindings } from "../../findings/finding.ts";
import type { GatewayAdapter, GatewayStore } from "../../forwarding/adapter.ts";
import { readEvacuation } from "../../evacuations/types.ts";
import {
  type GatewaySettings,
  loadGatewaySettings,
} from "../../settings/gateway_settings.ts";
import { type Address, formatAddress } from "../../settings/settings.ts";
import {
  FeedResultKind,
  type ObjectFeed,
} from "../../store_sync/object_feed.ts";
import { HttpClient } from "../../utils/http_client.ts";
import {
  type CommandDefinition,
  type CommandInvocation,
  defineCommand,
  requiredOption,
  settingsOption,
  UsageError,
} from "../define_command.ts";
import { ExitCode } from "../exit_code.ts";

/** What the command does. The values are its first argument. */
enum EvacuateAction {
  List = "list",
  Request = "request",
  Cancel = "cancel",
}

/** What the actions need. */
interface EvacuateContext {
  invocation: CommandInvocation;
  settings: GatewaySettings;
  store: GatewayStore;
}

const METRICS_TIMEOUT_MS = 2_000;
const LIST_TIMEOUT_MS = 5_000;
const HTTP_OK = 200;
/** A line such as `sesamequay_zone_exchanges{zone="az-1"} 3`. */
const EXCHANGES_LINE =
  /^sesamequay_zone_exchanges\{zone="((?:[^"\\]|\\.)*)"\} (\d+)$/gm;

/** Creates the `evacuate` command for a deployment's adapter. */
export function createEvacuateCommand(
  adapter: GatewayAdapter,
): CommandDefinition {
  return defineCommand({
    usage: "evacuate <action> [zone]",
    description:
      "List evacuations of zones, or request or cancel one (list, request, cancel)",
    options: [settingsOption],
    example: "evacuate request az-1 --settings gateway-1.yaml",
    async run(invocation) {
      const [action, zone] = invocation.positional;
      const run = ACTIONS[parseAction(action)];
      const file = requiredOption(invocation, "settings");
      const checked = loadGatewaySettings(file);
      if (!checked.ok) {
        invocation.printError(formatFindings(checked.findings));
        return ExitCode.Failure;
      }
      const settings = checked.value;
      const store = adapter.openStore(settings.object_store.address, () => {});
      try {
        return await run({ invocation, settings, store }, zone);
      } catch (error) {
        if (error instanceof UsageError) throw error;
        const { message } = error as Error;
        invocation.printError(`The object store did not do it: ${message}`);
        return ExitCode.Failure;
      } finally {
        store.close();
      }
    },
  });
}

const ACTIONS: Record<
  EvacuateAction,
  (context: EvacuateContext, zone: string | undefined) => Promise<ExitCode>
> = {
  [EvacuateAction.List]: printEvacuations,
  [EvacuateAction.Request]: requestEvacuation,
  [EvacuateAction.Cancel]: cancelEvacuation,
};

function parseAction(action: string | undefined): EvacuateAction {
  const known = Object.values(EvacuateAction).find((each) => each === action);
  if (known === undefined) {
    throw new UsageError("Give an action: list, request or cancel");
  }
  return known;
}

function parseZone(zone: string | undefined): string {
  const evacuation = readEvacuation({ zone });
  if (evacuation === undefined) {
    throw new UsageError("Give the name of an availability zone");
  }
  return evacuation.zone;
}

/** Prints each evacuated zone, and what still runs there. */
async function printEvacuations(
  { invocation, settings, store }: EvacuateContext,
): Promise<ExitCode> {
  const zones = await listNames(store.evacuations);
  if (zones.length === 0) invocation.print("No zone is evacuated");
  const running = zones.length === 0
    ? undefined
    : await readRunning(settings.listen.metrics);
  for (const zone of zones) {
    invocation.print(`${zone}  ${describeRunning(zone, settings, running)}`);
  }
  return ExitCode.Success;
}

async function requestEvacuation(
  { invocation, settings, store }: EvacuateContext,
  name: string | undefined,
): Promise<ExitCode> {
  const zone = parseZone(name);
  if (settings.evacuations === undefined) {
    invocation.printError(
      "Hosts with these settings don't read evacuations: set evacuations.in_force_ms",
    );
    return ExitCode.Failure;
  }
  const endpoints = await listValues(store.endpoints);
  const inZone =
    endpoints.filter(({ availability_zone }) => availability_zone === zone)
      .length;
  await store.requestEvacuation(zone);
  const { in_force_ms } = settings.evacuations;
  invocation.print(
    `The evacuation of ${zone} is requested; in force in ${in_force_ms} ms at ${inZone} endpoints`,
  );
  if (inZone > 0) return ExitCode.Success;
  invocation.printError(`No endpoint is in ${zone}: check the name`);
  return ExitCode.Failure;
}

async function cancelEvacuation(
  { invocation, store }: EvacuateContext,
  name: string | undefined,
): Promise<ExitCode> {
  const zone = parseZone(name);
  const zones = await listNames(store.evacuations);
  if (!zones.includes(zone)) {
    invocation.printError(`${zone} is not evacuated`);
    return ExitCode.Failure;
  }
  await store.cancelEvacuation(zone);
  invocation.print(`The evacuation of ${zone} is cancelled`);
  return ExitCode.Success;
}

async function listNames(feed: ObjectFeed<unknown>): Promise<string[]> {
  const items = await listItems(feed);
  return items.filter(({ value }) => value !== undefined)
    .map(({ name }) => name)
    .sort();
}

async function listValues<T>(feed: ObjectFeed<T>): Promise<T[]> {
  const items = await listItems(feed);
  return items.flatMap(({ value }) => value ?? []);
}

async function listItems<T>(feed: ObjectFeed<T>) {
  const listed = await feed.list(AbortSignal.timeout(LIST_TIMEOUT_MS));
  if (listed.kind === FeedResultKind.Listed) return listed.items;
  throw new Error("reason" in listed ? listed.reason : listed.kind);
}

/** The exchanges that run in each zone at a host; undefined if it can't tell. */
async function readRunning(
  address: Address | undefined,
): Promise<Map<string, number> | undefined> {
  if (address === undefined) return undefined;
  const http = new HttpClient(address);
  try {
    const { status, body } = await http.send({
      method: "GET",
      path: "/metrics",
      timeout_ms: METRICS_TIMEOUT_MS,
    });
    if (status !== HTTP_OK) return undefined;
    const lines = body.matchAll(EXCHANGES_LINE);
    return new Map([...lines].map(([, zone = "", running]) => [
      zone.replaceAll(/\\(.)/g, "$1"),
      Number(running),
    ]));
  } catch {
    // The caller says that it is unknown.
    return undefined;
  } finally {
    http.close();
  }
}

function describeRunning(
  zone: string,
  { host, listen }: GatewaySettings,
  running: Map<string, number> | undefined,
): string {
  if (running !== undefined) {
    return `${
      running.get(zone) ?? 0
    } exchanges of ${host.name} still run there`;
  }
  return listen.metrics === undefined
    ? `what runs there is unknown: ${host.name} has no listen.metrics`
    : `what runs there is unknown: no metrics at ${
      formatAddress(listen.metrics)
    }`;
}
