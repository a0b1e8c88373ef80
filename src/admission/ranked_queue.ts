/**
 * A queue class for p-queue that orders the requests waiting for a pool by:
 * 1. rank, by priority, with a guaranteed share of service for each rank;
 * 2. requests within their organisation's allowance before those over it;
 * 3. requests that have started, because earlier calls were already spent on
 *    them, before those that have not;
 * 4. organisation, by weighted fair queueing;
 * 5. earliest deadline.
 */
import type {
  AdmissionQueueOptions,
  QueuedRequest,
  RunFunction,
} from "./queued_request.ts";
import type { AdmissionQueue } from "./admission_queue.ts";

interface Item {
  run: RunFunction;
  request: QueuedRequest;
}

/** Tiers within a rank, in the order in which they are served. */
enum Tier {
  WithinAllowanceStarted,
  WithinAllowanceNew,
  OverAllowanceStarted,
  OverAllowanceNew,
}

const TIERS = [
  Tier.WithinAllowanceStarted,
  Tier.WithinAllowanceNew,
  Tier.OverAllowanceStarted,
  Tier.OverAllowanceNew,
];

interface OrganisationQueue {
  /** The items of each tier, by deadline. */
  tiers: Item[][];
  /** Advances by 1 / weight for each item served (fair queueing). */
  virtual_time: number;
}

interface RankQueue {
  priority: number;
  guaranteed_share: number;
  /** Service that the rank is owed, in items. */
  credit: number;
  size: number;
  organisations: Map<string, OrganisationQueue>;
  /** Highest virtual time of an organisation when it was served. */
  virtual_time: number;
}

/** Credit that serving one item costs. */
const CREDIT_PER_ITEM = 1;
/** Limits how many items a rank may be served in a row out of priority. */
const MAX_CREDIT = 4;

/** Queues requests by rank, allowance, progress, organisation and deadline. */
export class RankedQueue implements AdmissionQueue {
  #ranks = new Map<string, RankQueue>();
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item; p-queue passes the options of `add`. */
  enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void {
    if (options?.request === undefined) {
      throw new Error("A request is required");
    }
    const { request } = options;
    const rank = this.#rankOf(request);
    const item = { run, request };
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

  /** Removes a waiting item; false if there is none for the request. */
  remove(request_id: string): boolean {
    for (const rank of this.#ranks.values()) {
      if (!removeFromRank(rank, request_id)) continue;
      rank.size -= 1;
      this.#size -= 1;
      return true;
    }
    return false;
  }

  /** Required by p-queue; not used here. */
  filter(): RunFunction[] {
    return [];
  }

  /** Required by p-queue; priorities never change while an item waits. */
  setPriority(): void {}

  #rankOf(request: QueuedRequest): RankQueue {
    const known = this.#ranks.get(request.rank);
    if (known !== undefined) {
      known.priority = request.priority;
      known.guaranteed_share = request.guaranteed_share;
      return known;
    }
    const rank: RankQueue = {
      priority: request.priority,
      guaranteed_share: request.guaranteed_share,
      credit: 0,
      size: 0,
      organisations: new Map(),
      virtual_time: 0,
    };
    this.#ranks.set(request.rank, rank);
    return rank;
  }

  /**
   * Chooses the rank that is owed most, or else the most urgent one. Each waiting
   * rank first earns its guaranteed share; the chosen one pays for one item.
   */
  #nextRank(): RankQueue | undefined {
    let mostUrgent: RankQueue | undefined;
    let mostOwed: RankQueue | undefined;
    for (const rank of this.#ranks.values()) {
      if (rank.size === 0) continue;
      rank.credit = Math.min(MAX_CREDIT, rank.credit + rank.guaranteed_share);
      if (mostUrgent === undefined || rank.priority < mostUrgent.priority) {
        mostUrgent = rank;
      }
      const owed = rank.credit >= CREDIT_PER_ITEM;
      if (owed && (mostOwed === undefined || rank.credit > mostOwed.credit)) {
        mostOwed = rank;
      }
    }
    const chosen = mostOwed ?? mostUrgent;
    if (chosen !== undefined) {
      chosen.credit = Math.max(0, chosen.credit - CREDIT_PER_ITEM);
    }
    return chosen;
  }
}

function addToOrganisation(rank: RankQueue, item: Item): void {
  const { organisation } = item.request;
  const known = rank.organisations.get(organisation);
  const queue = known ?? createOrganisationQueue(rank.virtual_time);
  if (known === undefined) rank.organisations.set(organisation, queue);
  if (isEmpty(queue)) {
    queue.virtual_time = Math.max(queue.virtual_time, rank.virtual_time);
  }
  insertByDeadline(itemsOf(queue, tierOf(item.request)), item);
}

function createOrganisationQueue(virtual_time: number): OrganisationQueue {
  return { tiers: TIERS.map(() => []), virtual_time };
}

function tierOf({ over_allowance, started }: QueuedRequest): Tier {
  if (over_allowance) {
    return started ? Tier.OverAllowanceStarted : Tier.OverAllowanceNew;
  }
  return started ? Tier.WithinAllowanceStarted : Tier.WithinAllowanceNew;
}

function itemsOf(queue: OrganisationQueue, tier: Tier): Item[] {
  return queue.tiers[tier] ?? [];
}

function takeFromRank(rank: RankQueue): Item | undefined {
  for (const tier of TIERS) {
    const item = takeFromTier(rank, tier);
    if (item !== undefined) return item;
  }
  return undefined;
}

function takeFromTier(rank: RankQueue, tier: Tier): Item | undefined {
  let chosen: OrganisationQueue | undefined;
  for (const queue of rank.organisations.values()) {
    if (itemsOf(queue, tier).length === 0) continue;
    const lowest = chosen?.virtual_time ?? Infinity;
    if (queue.virtual_time < lowest) chosen = queue;
  }
  if (chosen === undefined) return undefined;
  const item = itemsOf(chosen, tier).shift();
  if (item === undefined) return undefined;
  rank.virtual_time = Math.max(rank.virtual_time, chosen.virtual_time);
  chosen.virtual_time += 1 / item.request.weight;
  return item;
}

function removeFromRank(rank: RankQueue, request_id: string): boolean {
  for (const { tiers } of rank.organisations.values()) {
    if (tiers.some((items) => removeItem(items, request_id))) return true;
  }
  return false;
}

function removeItem(items: Item[], request_id: string): boolean {
  const position = items.findIndex((item) =>
    item.request.request_id === request_id
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
    if (before.request.deadline_ms <= item.request.deadline_ms) break;
    position -= 1;
  }
  items.splice(position, 0, item);
}

function isEmpty({ tiers }: OrganisationQueue): boolean {
  return tiers.every((items) => items.length === 0);
}
