/** What a gate needs of the queue behind it. */
import type { RunItem, TicketOptions } from "./ticket.ts";

/** A queue class for p-queue that can also be asked what waits. */
export interface WaitingLine {
  readonly size: number;
  enqueue(run: RunItem, options?: Partial<TicketOptions>): void;
  dequeue(): RunItem | undefined;
  /** Removes a waiting item; false if it is not there. */
  remove(request_id: string): boolean;
  filter(): RunItem[];
  setPriority(): void;
}
