/** The admission policies, one of which is chosen in the settings. */

/** How requests are admitted and ordered. */
export enum AdmissionPolicy {
  /**
   * Orders by rank, organisation and deadline; rejects requests that are not
   * expected to meet their deadline.
   */
  Ranked = "ranked",
  /** Baseline: admits every request and serves in order of arrival. */
  FirstInFirstOut = "first_in_first_out",
}
