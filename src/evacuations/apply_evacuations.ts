/** Puts the evacuations of an entry host's configuration in force. */
import { ConfigurationSource } from "../configuration/configuration_state.ts";
import type { Logger } from "../logging/logger.ts";
import type { RecordSet } from "../records/record_set.ts";
import type { Evacuations, ZoneChange } from "./evacuations.ts";

/**
 * Applies the evacuated zones of a new configuration. Requests leave gradually if
 * it came by the watch of the platform, and at once if it came from a peer or is
 * the first one.
 */
export function applyEvacuations(
  zones: Evacuations,
  { evacuatedZones, endpoints }: RecordSet,
  { source, isFirst, log, now_ms }: {
    source: ConfigurationSource;
    /** Whether this host had no configuration before. */
    isFirst: boolean;
    log: Logger;
    /** Monotonic time in milliseconds. */
    now_ms: number;
  },
): void {
  zones.advance(now_ms);
  const isGradual = source === ConfigurationSource.Platform && !isFirst;
  const changes = isGradual
    ? zones.applyChanges(changesTo(zones, evacuatedZones), now_ms)
    : zones.replaceAll([...evacuatedZones], now_ms);
  const known = new Set(
    [...endpoints.values()].map((endpoint) => endpoint.availability_zone),
  );
  for (const change of changes) logChange(change, { source, known, log });
}

function changesTo(zones: Evacuations, evacuated: ReadonlySet<string>) {
  const ended = zones.all().filter((zone) => !evacuated.has(zone));
  return [
    ...ended.map((zone) => ({ zone, deleted: true })),
    ...[...evacuated].map((zone) => ({ zone, deleted: false })),
  ];
}

function logChange(
  { zone, evacuated }: ZoneChange,
  { source, known, log }: {
    source: ConfigurationSource;
    known: ReadonlySet<string>;
    log: Logger;
  },
): void {
  const state = evacuated ? "begun" : "ended";
  log.info({ event: "evacuation", zone, state, source });
  if (!evacuated || known.has(zone)) return;
  log.warn({
    event: "evacuation_ignored",
    name: zone,
    reason: "no endpoint is in the zone",
  });
}
