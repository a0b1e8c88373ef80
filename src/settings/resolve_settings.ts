/** Reads, checks and resolves the settings file of an entry host. */
import { readFileSync } from "node:fs";
import {
  DEFAULT_CLAIMS,
  DEFAULT_DRAIN,
  DEFAULT_LIMITS,
  DEFAULT_LOG_LEVEL,
  DEFAULT_METRICS_PREFIX,
  DEFAULT_PEERS,
  DEFAULT_PLATFORM_CALLS,
} from "../defaults.ts";
import type { CheckResult, Finding } from "../findings/finding.ts";
import {
  type LocatedDocument,
  parseLocatedDocument,
  validateDocument,
} from "../findings/located_document.ts";
import { AdmissionPolicy } from "../admission/types.ts";
import { RoutingPolicy } from "../routing/types.ts";
import {
  parseAddress,
  type SecretSource,
  type Settings,
  settingsSchema,
  type UserSettings,
} from "./settings.ts";

const MIN_SECRET_LENGTH = 16;

/** Reads one secret; throws if its source does not exist. */
export type ReadSecret = (source: SecretSource) => string;

/** Reads and checks the settings in `file`; a read error is a finding. */
export function loadSettings(file: string): CheckResult<Settings> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return { ok: false, findings: [createUnreadableFileFinding(file, error)] };
  }
  return checkSettings({ file, text, readSecret });
}

/** Checks the text of a settings file, reads its secrets and resolves it. */
export function checkSettings(
  source: { file: string; text: string; readSecret: ReadSecret },
): CheckResult<Settings> {
  const located = parseLocatedDocument(source.file, source.text);
  if (!located.ok) return located;
  const checked = validateDocument(located.value, settingsSchema);
  if (!checked.ok) return checked;
  const secrets = readSecrets(located.value, checked.value, source.readSecret);
  if (!secrets.ok) return secrets;
  return { ok: true, value: resolveSettings(checked.value, secrets.value) };
}

/** Parses addresses and fills in defaults; the caller has read the secrets. */
export function resolveSettings(
  user: UserSettings,
  secrets: { peers: string; operators: string },
): Settings {
  return {
    host: user.host,
    listen: {
      callers: parseAddress(user.listen.callers),
      peers: parseAddress(user.listen.peers),
    },
    advertise: {
      callers: user.advertise?.callers ?? user.listen.callers,
      peers: user.advertise?.peers ?? user.listen.peers,
    },
    peers: {
      ...DEFAULT_PEERS,
      ...user.peers,
      bootstrap: user.peers.bootstrap ?? [],
      secret: secrets.peers,
    },
    operators: { secret: secrets.operators },
    platform: {
      ...DEFAULT_PLATFORM_CALLS,
      ...user.platform,
      address: parseAddress(user.platform.address),
    },
    claims: { ...DEFAULT_CLAIMS, ...user.claims },
    routing: {
      policy: user.routing?.policy ?? RoutingPolicy.ExpectedCompletion,
    },
    admission: { policy: user.admission?.policy ?? AdmissionPolicy.Ranked },
    limits: { ...DEFAULT_LIMITS, ...user.limits },
    drain: { ...DEFAULT_DRAIN, ...user.drain },
    log: { level: user.log?.level ?? DEFAULT_LOG_LEVEL },
    statsd: user.statsd === undefined ? undefined : {
      address: parseAddress(user.statsd.address),
      prefix: user.statsd.prefix ?? DEFAULT_METRICS_PREFIX,
    },
  };
}

function readSecrets(
  document: LocatedDocument,
  user: UserSettings,
  read: ReadSecret,
): CheckResult<{ peers: string; operators: string }> {
  const findings: Finding[] = [];
  const readSecretOf = (section: "peers" | "operators"): string => {
    try {
      const secret = read(user[section].secret);
      if (secret.length >= MIN_SECRET_LENGTH) return secret;
      findings.push(document.findingAt(
        [section, "secret"],
        `The secret is shorter than ${MIN_SECRET_LENGTH} characters`,
        "Use a longer random secret",
      ));
    } catch (error) {
      findings.push(document.findingAt(
        [section, "secret"],
        `Cannot read the secret: ${(error as Error).message}`,
        "Set the environment variable or create the file",
      ));
    }
    return "";
  };
  const value = {
    peers: readSecretOf("peers"),
    operators: readSecretOf("operators"),
  };
  return findings.length > 0 ? { ok: false, findings } : { ok: true, value };
}

function readSecret(source: SecretSource): string {
  if ("file" in source) return readFileSync(source.file, "utf8").trim();
  const value = process.env[source.environment];
  if (value === undefined) {
    throw new Error(
      `The environment variable ${source.environment} is not set`,
    );
  }
  return value;
}

/** Creates the finding for a settings file that cannot be read. */
export function createUnreadableFileFinding(
  file: string,
  error: unknown,
): Finding {
  const message = `Cannot read the file: ${(error as Error).message}`;
  const hint = "Check the path given with --settings";
  return { file, path: "", line: 1, column: 1, message, hint };
}
