/** Why a ramp-up began. The values are sent to other hosts and logged. */
export enum RampReason {
  Start = "start",
  Recovery = "recovery",
}
