import type {
  GatewayMember,
  GatewayMembers,
} from "../membership/gateway_members.ts";
import type { OwnEntry } from "../membership/own_entry.ts";
import type { FeedListener } from "./sync_feed.ts";

/** Dependencies of a listener of the gateway hosts' feed. */
export interface MemberListenerOptions {
  members: GatewayMembers;
  ownEntry: Pick<OwnEntry, "handleList" | "handleChanges">;
  /** Called after each change of the members. */
  onChange: () => void;
  now: () => number;
}

/** By then all hosts whose entries the store lost have written them again. */
const KEEP_MISSING_MS = 15_000;

/** Creates the listener that keeps the members and this host's entry right. */
export function createMemberListener(
  { members, ownEntry, onChange, now }: MemberListenerOptions,
): FeedListener<GatewayMember> & { onSourceRestored: () => void } {
  let keepMissingUntil_ms = -Infinity;
  return {
    onList(items) {
      const keepMissing = now() < keepMissingUntil_ms;
      members.replaceAll(items, { keepMissing });
      ownEntry.handleList(items);
      onChange();
    },
    onChanges(changes) {
      members.applyChanges(changes);
      ownEntry.handleChanges(changes);
      onChange();
    },
    onSourceRestored: () => keepMissingUntil_ms = now() + KEEP_MISSING_MS,
  };
}
