/** Source edits that disable what keeps streams at one software version. */
import type { BrokenVariant } from "../scenario/scenario.ts";

/** Variants that the soak must find. */
export const SOAK_VARIANTS: BrokenVariant[] = [
  {
    name: "a stream may go on at any version",
    file: "src/forwarding/run_context.ts",
    replace: "if (this.streamVersion === undefined) return ready;",
    with: 'if (this.streamVersion !== "?") return ready;',
  },
  {
    name: "a further send ignores the version",
    file: "src/forwarding/stream_origin.ts",
    replace: "context.streamVersion = endpoint.software_version ?? UNNAMED;",
    with: "void UNNAMED;",
  },
  {
    name: "the version isn't carried over to a resumption",
    file: "src/forwarding/stream_origin.ts",
    replace: "context.streamVersion = origin?.version;",
    with: "",
  },
  {
    name: "an entry that is behind is believed",
    file: "src/forwarding/stream_origin.ts",
    replace: "if (context.firstEventFrom !== sentTo) return;",
    with: "if (sentTo !== undefined) return;",
  },
  {
    name: "endpoints aren't asked when they started",
    file: "src/stream_origins/start_check.ts",
    replace: "return born_ms === endpoint.born_ms",
    with: "return born_ms !== undefined",
  },
  {
    name: "keepers aren't asked",
    file: "src/stream_origins/stream_origin_service.ts",
    replace: "keepers.map((address) => this.#askKeeper(address, key)),",
    with: "keepers.slice(0, 0).map((each) => this.#askKeeper(each, key)),",
  },
];

/** Finds a variant by its name or by its number, from 1. */
export function findVariant(name: string | number): BrokenVariant {
  const variant = SOAK_VARIANTS[Number(name) - 1] ??
    SOAK_VARIANTS.find((each) => each.name === name);
  if (variant !== undefined) return variant;
  const names = SOAK_VARIANTS.map((each, n) => `${n + 1}: ${each.name}`);
  throw new Error(`Name a variant: ${names.join("; ")}`);
}
