/** Keeps a host running after an error that no caller handles. */
import type { EventEmitter } from "node:events";
import type { Logger } from "../logging/logger.ts";

/**
 * Logs unhandled errors and rejections of the process. They concern one message
 * or request, while ending the process would end all that it serves.
 */
export function logUnhandledErrors(process: EventEmitter, log: Logger): void {
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    process.on(event, (error: unknown) => {
      const text = error instanceof Error ? error.stack : String(error);
      log.error({ event: "fault", error: text });
    });
  }
}
