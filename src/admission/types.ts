/** Names of the admission policies; settings choose one. */

/** How requests are let in and ordered. */
export enum AdmissionPolicy {
  /** By rank, organisation and deadline; hopeless requests are refused. */
  Ranked = "ranked",
  /** Baseline: everything is let in, and served in order of arrival. */
  FirstInFirstOut = "first_in_first_out",
}
