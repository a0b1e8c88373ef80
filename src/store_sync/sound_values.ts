/**
 * Which entries of the store name an endpoint or a host. Anyone may write there,
 * and a host of an earlier release may pass on what it did not check.
 */
import { z } from "zod";
import type { GatewayMember } from "../membership/gateway_members.ts";
import { type RouteEndpoint, RouteEndpointState } from "../routes/types.ts";
import { addressSchema } from "../settings/settings.ts";
import { isIpv4Address } from "../utils/ipv4_address.ts";

/** Longest name of an object, an endpoint, a pool or a zone, in characters. */
export const MAX_NAME_LENGTH = 512;
/** Most requests that an endpoint may claim to process at a time. */
export const MAX_SLOTS = 1_000_000;
/** Most CPU cores that a host may claim. */
const MAX_CORES = 100_000;

/** A name that fits in a header: visible ASCII characters and spaces. */
export const headerNameSchema = z.string().max(MAX_NAME_LENGTH)
  .regex(/^[\x20-\x7e]+$/);
/** A name of a pool or a zone. */
export const nameSchema = z.string().max(MAX_NAME_LENGTH);
/** An IPv4 address and a port. */
export const ipv4AddressSchema = z.string().refine(isIpv4Address);
/** A number of requests at a time. */
export const slotsSchema = z.number().positive().max(MAX_SLOTS);
/** A time in Unix milliseconds. */
export const unixTimeSchema = z.int().nonnegative();

const endpointSchema = z.object({
  id: headerNameSchema,
  pool: nameSchema,
  address: ipv4AddressSchema,
  availability_zone: nameSchema,
  slots: slotsSchema,
  state: z.enum(RouteEndpointState),
  born_ms: unixTimeSchema,
  software_version: nameSchema.optional(),
  cold_remaining_ms: z.number().nonnegative().optional().catch(undefined),
});

const memberSchema = z.object({
  address: addressSchema,
  availability_zone: nameSchema,
  cores: z.number().nonnegative().max(MAX_CORES),
  started_ms: z.number(),
});

/** The endpoint that a value describes; undefined if it describes none. */
export function readEndpoint(value: unknown): RouteEndpoint | undefined {
  return endpointSchema.safeParse(value).data;
}

/** The host that a value describes; undefined if it describes none. */
export function readMember(value: unknown): GatewayMember | undefined {
  return memberSchema.safeParse(value).data;
}
