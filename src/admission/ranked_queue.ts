/**
 * The order in which work waits for a pool. It is p-queue's queue class: ranks
 * by urgency with a guaranteed share each, then work within its organisation's
 * allowance, then work that has already been paid for, then the organisation
 * that was served least, then the earliest deadline.
 */
import type {
  AdmissionQueueOptions,
  QueuedRequest,
  RunFunction,
} from "./queued_request.ts";
import type { AdmissionQueue } from "./admission_queue.ts";

interface Item {
  run: RunFunction;
  ticket: QueuedRequest;
}

/** The lines of a rank, in the order in which they are served. */
enum LineKind {
  WithinStarted,
  WithinFresh,
  ExcessStarted,
  ExcessFresh,
}

const LINE_KINDS = [
  LineKind.WithinStarted,
  LineKind.WithinFresh,
  LineKind.ExcessStarted,
  LineKind.ExcessFresh,
];

interface OrganisationLines {
  /** One line for each kind. */
  lines: Item[][];
  /** Service received, divided by the weight. */
  virtual_time: number;
}

interface RankLine {
  priority: number;
  guaranteed_share: number;
  credit: number;
  size: number;
  organisations: Map<string, OrganisationLines>;
  /** Virtual time of the organisation served last. */
  virtual_time: number;
}

const FULL_CREDIT = 1;
const MAX_CREDIT = 4;

/** A queue class for p-queue; see the module's comment for the order. */
export class RankedQueue implements AdmissionQueue {
  #ranks = new Map<string, RankLine>();
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item; p-queue passes the options of `add`. */
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void {
    if (options?.ticket === undefined) throw new Error("A ticket is required");
    const { ticket } = options;
    const rank = this.#rankOf(ticket);
    const item = { run, ticket };
    addToOrganisation(rank, item);
    rank.size += 1;
    this.#size += 1;
  }

  /** Takes the item to run next. */
  dequeue(): RunFunction | undefined {
    const rank = this.#nextRank();
    if (rank === undefined) return undefined;
    rank.size -= 1;
    this.#size -= 1;
    return takeFromRank(rank)?.run;
  }

  /** Removes a waiting item; false if it is not there. */
  remove(request_id: string): boolean {
    for (const rank of this.#ranks.values()) {
      if (!removeFromRank(rank, request_id)) continue;
      rank.size -= 1;
      this.#size -= 1;
      return true;
    }
    return false;
  }

  /** p-queue's filter; every item has the same options here. */
  filter(): RunFunction[] {
    return [];
  }

  /** Priorities come from ranks and do not change while an item waits. */
  setPriority(): void {}

  #rankOf(ticket: QueuedRequest): RankLine {
    const known = this.#ranks.get(ticket.rank);
    if (known !== undefined) {
      known.priority = ticket.priority;
      known.guaranteed_share = ticket.guaranteed_share;
      return known;
    }
    const rank: RankLine = {
      priority: ticket.priority,
      guaranteed_share: ticket.guaranteed_share,
      credit: 0,
      size: 0,
      organisations: new Map(),
      virtual_time: 0,
    };
    this.#ranks.set(ticket.rank, rank);
    return rank;
  }

  #nextRank(): RankLine | undefined {
    let urgent: RankLine | undefined;
    let owed: RankLine | undefined;
    for (const rank of this.#ranks.values()) {
      if (rank.size === 0) continue;
      rank.credit = Math.min(MAX_CREDIT, rank.credit + rank.guaranteed_share);
      if (urgent === undefined || rank.priority < urgent.priority) {
        urgent = rank;
      }
      const due = rank.credit >= FULL_CREDIT;
      if (due && (owed === undefined || rank.credit > owed.credit)) owed = rank;
    }
    const chosen = owed ?? urgent;
    if (chosen !== undefined) {
      chosen.credit = Math.max(0, chosen.credit - FULL_CREDIT);
    }
    return chosen;
  }
}

function addToOrganisation(rank: RankLine, item: Item): void {
  const { organisation } = item.ticket;
  const known = rank.organisations.get(organisation);
  const own = known ?? createLines(rank.virtual_time);
  if (known === undefined) rank.organisations.set(organisation, own);
  if (isEmpty(own)) {
    own.virtual_time = Math.max(own.virtual_time, rank.virtual_time);
  }
  insertByDeadline(lineOf(own, lineKindOf(item.ticket)), item);
}

function createLines(virtual_time: number): OrganisationLines {
  return { lines: LINE_KINDS.map(() => []), virtual_time };
}

function lineKindOf({ over_allowance, started }: QueuedRequest): LineKind {
  if (over_allowance) {
    return started ? LineKind.ExcessStarted : LineKind.ExcessFresh;
  }
  return started ? LineKind.WithinStarted : LineKind.WithinFresh;
}

function lineOf(own: OrganisationLines, kind: LineKind): Item[] {
  return own.lines[kind] ?? [];
}

function takeFromRank(rank: RankLine): Item | undefined {
  for (const kind of LINE_KINDS) {
    const item = takeFairly(rank, kind);
    if (item !== undefined) return item;
  }
  return undefined;
}

function takeFairly(rank: RankLine, kind: LineKind): Item | undefined {
  let chosen: OrganisationLines | undefined;
  for (const own of rank.organisations.values()) {
    if (lineOf(own, kind).length === 0) continue;
    const served = chosen?.virtual_time ?? Infinity;
    if (own.virtual_time < served) chosen = own;
  }
  if (chosen === undefined) return undefined;
  const item = lineOf(chosen, kind).shift();
  if (item === undefined) return undefined;
  rank.virtual_time = Math.max(rank.virtual_time, chosen.virtual_time);
  chosen.virtual_time += 1 / item.ticket.weight;
  return item;
}

function removeFromRank(rank: RankLine, request_id: string): boolean {
  for (const { lines } of rank.organisations.values()) {
    if (lines.some((line) => removeItem(line, request_id))) return true;
  }
  return false;
}

function removeItem(items: Item[], request_id: string): boolean {
  const position = items.findIndex((item) =>
    item.ticket.request_id === request_id
  );
  if (position < 0) return false;
  items.splice(position, 1);
  return true;
}

function insertByDeadline(items: Item[], item: Item): void {
  let position = items.length;
  while (position > 0) {
    const before = items[position - 1];
    if (before === undefined) break;
    if (before.ticket.deadline_ms <= item.ticket.deadline_ms) break;
    position -= 1;
  }
  items.splice(position, 0, item);
}

function isEmpty({ lines }: OrganisationLines): boolean {
  return lines.every((line) => line.length === 0);
}
