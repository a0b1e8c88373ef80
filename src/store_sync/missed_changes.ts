import type { FeedChange } from "./object_feed.ts";

/**
 * Whether changes delete an object that this host doesn't have: it came and went
 * unseen, as a delivery may name only the last state of each object.
 */
export function deletesUnknown<T>(
  changes: readonly FeedChange<T>[],
  isKnown: (name: string) => boolean,
): boolean {
  const present = new Map<string, boolean>();
  return changes.some(({ name, deleted }) => {
    const wasPresent = present.get(name) ?? isKnown(name);
    present.set(name, !deleted);
    return deleted && !wasPresent;
  });
}
