/** Limits of the bodies that a host holds, for tests of those who read them. */
import { BodyKind, BodyMemory } from "../../src/bodies/body_memory.ts";
import { ChunkPacer } from "../../src/bodies/chunk_pacer.ts";
import type { BodyLimits } from "../../src/bodies/read_bytes.ts";
import type { Logger } from "../../src/logging/logger.ts";

/** Creates limits for responses. */
export function createBodyLimits(
  options: { max_bytes: number; log: Logger },
): BodyLimits {
  const kind = BodyKind.Response;
  return {
    memory: new BodyMemory({ kind, onDrop: () => {}, ...options }),
    pacer: new ChunkPacer(),
  };
}
