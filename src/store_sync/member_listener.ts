import type {
  GatewayMember,
  GatewayMembers,
} from "../membership/gateway_members.ts";
import type { OwnEntry } from "../membership/own_entry.ts";
import type { FeedItem } from "./object_feed.ts";
import type { FeedListener } from "./feed_reader.ts";

/** Dependencies of a listener of the gateway hosts' feed. */
export interface MemberListenerOptions {
  members: GatewayMembers;
  ownEntry: Pick<OwnEntry, "handleList" | "handleChanges">;
  /** Called after each change of the members. */
  onChange: () => void;
  now: () => number;
}

/** The listener of the hosts' feed, and how it forgets hosts that are gone. */
export interface MemberListener extends FeedListener<GatewayMember> {
  onSourceRestored: () => void;
  /**
   * Forgets the hosts that the last list lacked, if they have had time to write
   * their entries again; must be called after {@linkcode KEEP_MISSING_MS}.
   */
  dropMissing: () => void;
}

/** By then all hosts whose entries the store lost have written them again. */
export const KEEP_MISSING_MS = 15_000;

/** Creates the listener that keeps the members and this host's entry right. */
export function createMemberListener(
  { members, ownEntry, onChange, now }: MemberListenerOptions,
): MemberListener {
  let keepMissingUntil_ms = -Infinity;
  let listed = new Map<string, FeedItem<GatewayMember>>();
  return {
    onList(items) {
      listed = new Map(items.map((item) => [item.name, item]));
      const keepMissing = now() < keepMissingUntil_ms;
      members.replaceAll(items, { keepMissing });
      ownEntry.handleList(items);
      onChange();
    },
    onChanges(changes) {
      for (const { name, value, deleted } of changes) {
        if (deleted) listed.delete(name);
        else listed.set(name, { name, value });
      }
      members.applyChanges(changes);
      ownEntry.handleChanges(changes);
      onChange();
    },
    onSourceRestored: () => keepMissingUntil_ms = now() + KEEP_MISSING_MS,
    dropMissing() {
      if (now() < keepMissingUntil_ms) return;
      members.replaceAll([...listed.values()]);
      onChange();
    },
  };
}
