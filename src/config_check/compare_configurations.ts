/** Compares a configuration with the version in force. */
import { type FieldPath, formatPath } from "../findings/located_document.ts";
import {
  type ConfigurationEntry,
  type ConfigurationFinding,
  FindingKind,
  type ReadConfiguration,
  Severity,
} from "./types.ts";

/** Lists the differences; places are in the new file, of removed entries none. */
export function compareConfigurations(
  next: ReadConfiguration,
  inForce: ReadConfiguration,
): ConfigurationFinding[] {
  const before = new Map(inForce.entries.map((entry) => [entry.id, entry]));
  const after = new Map(next.entries.map((entry) => [entry.id, entry]));
  const severity = Severity.Note;
  return [
    ...compareVersions(next, inForce),
    ...[...before.keys()].filter((entry) => !after.has(entry))
      .map((entry): ConfigurationFinding => ({
        severity,
        kind: FindingKind.Removed,
        path: [],
        entry,
      })),
    ...[...after.values()].flatMap((entry): ConfigurationFinding[] => {
      const { id, path } = entry;
      const known = before.get(id);
      return known === undefined
        ? [{ severity, kind: FindingKind.Added, path, entry: id }]
        : compareEntries(known, entry);
    }),
  ];
}

function compareVersions(
  next: ReadConfiguration,
  inForce: ReadConfiguration,
): ConfigurationFinding[] {
  const { version } = next.configuration;
  const { version: in_force } = inForce.configuration;
  if (version > in_force) return [];
  const kind = FindingKind.VersionNotHigher;
  const path = next.placeInFile(["version"]);
  return [{ severity: Severity.Error, kind, path, version, in_force }];
}

function compareEntries(
  before: ConfigurationEntry,
  { id, path, fields }: ConfigurationEntry,
): ConfigurationFinding[] {
  const old = listValues(before.fields);
  const current = listValues(fields);
  const places = new Map([...old, ...current].map((each) => [each.name, each]));
  return [...places.values()].flatMap((place): ConfigurationFinding[] => {
    const textIn = (values: FieldValue[]) =>
      values.find(({ name }) => name === place.name)?.text;
    const [was, is] = [textIn(old), textIn(current)];
    if (was === is) return [];
    return [{
      severity: Severity.Note,
      kind: FindingKind.Changed,
      path: [...path, ...place.path],
      entry: id,
      field: place.name,
      before: was,
      after: is,
    }];
  });
}

/** A field that holds no other fields. */
interface FieldValue {
  path: FieldPath;
  /** The path as text, such as `stages[0].bytes`. */
  name: string;
  /** JSON text of its value. */
  text: string;
}

/** The innermost fields; lists of plain values are fields of their own. */
function listValues(value: unknown, path: FieldPath = []): FieldValue[] {
  // Decoding treats null as a missing field.
  if (value === undefined || value === null) return [];
  const isPlain = typeof value !== "object" ||
    Array.isArray(value) && value.every((each) => typeof each !== "object");
  if (isPlain) {
    return [{ path, name: formatPath(path), text: JSON.stringify(value) }];
  }
  const isList = Array.isArray(value);
  return Object.entries(value).flatMap(([key, inner]) =>
    listValues(inner, [...path, isList ? Number(key) : key])
  );
}
