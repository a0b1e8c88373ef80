/** The state chart `pipeline_run`: its states, events and guards. */
import { type Chart, createChart } from "../charts/chart.ts";

/** States of the chart. */
export enum RunState {
  Admitting = "admitting",
  Checking = "checking",
  Claiming = "claiming",
  Waiting = "waiting",
  Calling = "calling",
  Completed = "completed",
  Replayed = "replayed",
  Refused = "refused",
  Unknown = "unknown",
  Failed = "failed",
}

/** Events of the chart. */
export enum RunEvent {
  Admitted = "ADMITTED",
  Refused = "REFUSED",
  Claimed = "CLAIMED",
  Recorded = "RECORDED",
  Uncertain = "UNCERTAIN",
  Unused = "UNUSED",
  Granted = "GRANTED",
  StageDone = "STAGE_DONE",
  Retry = "RETRY",
  Aborted = "ABORTED",
}

/** The properties of a run that the guards of the chart read. */
export interface RunGuardContext {
  /** Whether the request has an idempotency key. */
  readonly needsClaim: boolean;
  /** Whether a stage is left to run. */
  readonly hasMoreStages: boolean;
  /** Whether any call may have reached an endpoint. */
  readonly anythingSent: boolean;
  /** Whether a call that must not be repeated may have run. */
  readonly effectPossible: boolean;
}

/** The loaded chart. */
export const runChart: Chart<RunGuardContext> = createChart<RunGuardContext>(
  "pipeline_run",
  {
    needsClaim: (run) => run.needsClaim,
    moreStages: (run) => run.hasMoreStages,
    nothingSent: (run) => !run.anythingSent,
    effectPossible: (run) => run.effectPossible,
  },
);
