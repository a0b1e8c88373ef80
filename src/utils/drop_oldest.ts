/**
 * Removes the entry that was added first, if there are more than `max_size`. An
 * entry that is deleted and added again counts as new.
 */
export function dropOldest(
  entries: Map<string, unknown> | Set<string>,
  max_size: number,
): void {
  if (entries.size <= max_size) return;
  const [oldest = ""] = entries.keys();
  entries.delete(oldest);
}
