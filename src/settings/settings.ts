/** Settings of an entry host: the file's schema and the resolved form. */
import { isIPv6 } from "node:net";
import { z } from "zod";
import { AdmissionPolicy } from "../admission/types.ts";
import { RoutingPolicy } from "../routing/types.ts";
import { isIpv4Address } from "../utils/ipv4_address.ts";

const MAX_PORT = 65_535;

/** An address as `ip:port`; the IP is v4, or v6 in brackets. */
export const addressSchema = z.string().refine(isValidAddress, {
  message: "The address is not of the form ip:port",
});

const positiveInteger = z.int().positive();

const secretSchema = z.union([
  z.strictObject({ file: z.string().min(1) }),
  z.strictObject({ environment: z.string().min(1) }),
]);

/** The schema of an entry host's settings file. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, {
      message: "The name is not lower-case letters, digits and hyphens",
    }),
    availability_zone: z.string().min(1),
  }),
  listen: z.strictObject({
    callers: addressSchema,
    peers: addressSchema,
  }),
  advertise: z.strictObject({
    callers: addressSchema.optional(),
    peers: addressSchema.optional(),
  }).optional(),
  peers: z.strictObject({
    bootstrap: z.array(addressSchema).optional(),
    secret: secretSchema,
    heartbeat_ms: positiveInteger.optional(),
    timeout_ms: positiveInteger.optional(),
    suspect_after_ms: positiveInteger.optional(),
  }),
  operators: z.strictObject({ secret: secretSchema }),
  platform: z.strictObject({
    address: addressSchema,
    reads_per_second: positiveInteger.optional(),
    writes_per_second: positiveInteger.optional(),
    timeout_ms: positiveInteger.optional(),
    watch_ms: positiveInteger.optional(),
  }),
  claims: z.strictObject({
    shards: positiveInteger.max(64).optional(),
    bucket_ms: positiveInteger.optional(),
    buckets: positiveInteger.optional(),
    commit_interval_ms: positiveInteger.optional(),
  }).optional(),
  routing: z.strictObject({
    policy: z.enum(RoutingPolicy).optional(),
  }).optional(),
  admission: z.strictObject({
    policy: z.enum(AdmissionPolicy).optional(),
  }).optional(),
  limits: z.strictObject({
    body_bytes: positiveInteger.optional(),
    header_bytes: positiveInteger.optional(),
    header_timeout_ms: positiveInteger.optional(),
    body_timeout_ms: positiveInteger.optional(),
    connections: positiveInteger.optional(),
    deadline_ms: positiveInteger.optional(),
  }).optional(),
  drain: z.strictObject({
    timeout_ms: positiveInteger.optional(),
    readiness_delay_ms: z.int().nonnegative().optional(),
  }).optional(),
  log: z.strictObject({
    level: z.enum(["debug", "info", "warn", "error"]).optional(),
  }).optional(),
  statsd: z.strictObject({
    address: addressSchema,
    prefix: z.string().optional(),
  }).optional(),
});

/** Settings as written in the file, without defaults. */
export type UserSettings = z.infer<typeof settingsSchema>;

/** Where to read a secret from: a file or an environment variable. */
export type SecretSource = z.infer<typeof secretSchema>;

/** An IP address and a TCP or UDP port. */
export interface Address {
  ip: string;
  port: number;
}

/** Resolved settings: defaults filled in, addresses parsed, secrets read. */
export interface Settings {
  host: { name: string; availability_zone: string };
  listen: { callers: Address; peers: Address };
  /** Addresses under which other hosts reach this one, as `ip:port`. */
  advertise: { callers: string; peers: string };
  peers: {
    /** Peer addresses to contact before other members are known. */
    bootstrap: string[];
    secret: string;
    heartbeat_ms: number;
    timeout_ms: number;
    /** Time without a heartbeat after which a peer is suspected to be down. */
    suspect_after_ms: number;
  };
  operators: { secret: string };
  platform: {
    address: Address;
    reads_per_second: number;
    writes_per_second: number;
    timeout_ms: number;
    /** Longest duration of one watch. */
    watch_ms: number;
  };
  claims: {
    shards: number;
    /** Length of a time bucket; the claims of one are stored together. */
    bucket_ms: number;
    /** Number of latest time buckets that are kept in each shard. */
    buckets: number;
    commit_interval_ms: number;
  };
  routing: { policy: RoutingPolicy };
  admission: { policy: AdmissionPolicy };
  limits: {
    body_bytes: number;
    header_bytes: number;
    header_timeout_ms: number;
    body_timeout_ms: number;
    connections: number;
    deadline_ms: number;
  };
  drain: { timeout_ms: number; readiness_delay_ms: number };
  log: { level: string };
  statsd: { address: Address; prefix: string } | undefined;
}

/** Splits `ip:port`; the text must have passed {@linkcode addressSchema}. */
export function parseAddress(text: string): Address {
  const separator = text.lastIndexOf(":");
  const ip = text.slice(0, separator).replace(/^\[|\]$/g, "");
  return { ip, port: Number(text.slice(separator + 1)) };
}

/** Formats an address as `ip:port`. */
export function formatAddress({ ip, port }: Address): string {
  return ip.includes(":") ? `[${ip}]:${port}` : `${ip}:${port}`;
}

function isValidAddress(text: string): boolean {
  const match = /^\[([0-9a-fA-F:]+)\]:(\d{1,5})$/.exec(text);
  if (match === null) return isIpv4Address(text);
  const port = Number(match[2]);
  return isIPv6(match[1] ?? "") && port > 0 && port <= MAX_PORT;
}
