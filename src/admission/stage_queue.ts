/**
 * The order in which work waits for a pool. It is p-queue's queue class: ranks
 * by urgency with a guaranteed share each, then work that has already been
 * paid for, then organisations within their allowance, then the organisation
 * that was served least, then the earliest deadline.
 */
import type { QueueAddOptions } from "p-queue";
import type { WaitingLine } from "./waiting_line.ts";

/** Runs an item; p-queue's type. */
export type RunItem = () => Promise<unknown>;

/** What an item says about itself. */
export interface Ticket {
  request_id: string;
  /** Identity text of the rank. */
  rank: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Share of service that the rank keeps, 0 to 1. */
  guaranteed_share: number;
  /** Identity text of the organisation. */
  organisation: string;
  /** The organisation's allowance, used as its weight. */
  weight: number;
  /** Whether the organisation is beyond its allowance. */
  excess: boolean;
  /** Whether an earlier stage of the request has run. */
  started: boolean;
  deadline_ms: number;
}

/** Options of p-queue's `add` for this queue class. */
export interface TicketOptions extends QueueAddOptions {
  ticket: Ticket;
}

interface Item {
  run: RunItem;
  ticket: Ticket;
}

interface OrganisationLine {
  within: Item[];
  excess: Item[];
  /** Service received, divided by the weight. */
  virtual_time: number;
}

interface RankLine {
  priority: number;
  guaranteed_share: number;
  credit: number;
  size: number;
  started: Item[];
  organisations: Map<string, OrganisationLine>;
  /** Virtual time of the organisation served last. */
  virtual_time: number;
}

const FULL_CREDIT = 1;
const MAX_CREDIT = 4;

/** A queue class for p-queue; see the module's comment for the order. */
export class StageQueue implements WaitingLine {
  #ranks = new Map<string, RankLine>();
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item; p-queue passes the options of `add`. */
  enqueue(run: RunItem, options?: Partial<TicketOptions>): void {
    if (options?.ticket === undefined) throw new Error("A ticket is required");
    const { ticket } = options;
    const rank = this.#rankOf(ticket);
    const item = { run, ticket };
    if (ticket.started) insertByDeadline(rank.started, item);
    else addToOrganisation(rank, item);
    rank.size += 1;
    this.#size += 1;
  }

  /** Takes the item to run next. */
  dequeue(): RunItem | undefined {
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
  filter(): RunItem[] {
    return [];
  }

  /** Priorities come from ranks and do not change while an item waits. */
  setPriority(): void {}

  #rankOf(ticket: Ticket): RankLine {
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
      started: [],
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
  const { organisation, excess } = item.ticket;
  let line = rank.organisations.get(organisation);
  if (line === undefined) {
    line = { within: [], excess: [], virtual_time: rank.virtual_time };
    rank.organisations.set(organisation, line);
  }
  if (isEmpty(line)) {
    line.virtual_time = Math.max(line.virtual_time, rank.virtual_time);
  }
  insertByDeadline(excess ? line.excess : line.within, item);
}

function takeFromRank(rank: RankLine): Item | undefined {
  const started = rank.started.shift();
  if (started !== undefined) return started;
  return takeFairly(rank, "within") ?? takeFairly(rank, "excess");
}

function takeFairly(
  rank: RankLine,
  line: "within" | "excess",
): Item | undefined {
  let chosen: OrganisationLine | undefined;
  for (const organisation of rank.organisations.values()) {
    if (organisation[line].length === 0) continue;
    const served = chosen?.virtual_time ?? Infinity;
    if (organisation.virtual_time < served) chosen = organisation;
  }
  const item = chosen?.[line].shift();
  if (chosen === undefined || item === undefined) return undefined;
  rank.virtual_time = Math.max(rank.virtual_time, chosen.virtual_time);
  chosen.virtual_time += 1 / item.ticket.weight;
  if (isEmpty(chosen) && chosen.virtual_time <= rank.virtual_time) {
    rank.organisations.delete(item.ticket.organisation);
  }
  return item;
}

function removeFromRank(rank: RankLine, request_id: string): boolean {
  if (removeItem(rank.started, request_id)) return true;
  for (const line of rank.organisations.values()) {
    if (removeItem(line.within, request_id)) return true;
    if (removeItem(line.excess, request_id)) return true;
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

function isEmpty(line: OrganisationLine): boolean {
  return line.within.length === 0 && line.excess.length === 0;
}
