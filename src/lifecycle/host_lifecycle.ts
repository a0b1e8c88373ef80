/** The state of this host's process, by the chart host_lifecycle. */
import { createChart } from "../charts/chart.ts";

/** States of the chart. */
export enum HostLifecycleState {
  Starting = "starting",
  Ready = "ready",
  Leaving = "leaving",
  Draining = "draining",
  Stopped = "stopped",
}

/** Events of the chart. */
export enum HostLifecycleEvent {
  /** The first configuration is in force. */
  Configured = "CONFIGURED",
  /** The host is told to go. */
  Drain = "DRAIN",
  /** The balancer has had time to notice. */
  GraceOver = "GRACE_OVER",
  /** No request runs any more. */
  Idle = "IDLE",
  /** The drain has taken too long. */
  Timeout = "TIMEOUT",
  /** The host is told to stop at once. */
  Stop = "STOP",
}

const chart = createChart<undefined>("host_lifecycle", {});

/** Steps through the chart; events that do not apply are ignored. */
export class HostLifecycle {
  #state = chart.initial as HostLifecycleState;
  #onChange: (state: HostLifecycleState) => void;

  constructor(onChange: (state: HostLifecycleState) => void) {
    this.#onChange = onChange;
  }

  /** The present state. */
  get state(): HostLifecycleState {
    return this.#state;
  }

  /** Whether new requests are taken. */
  get accepts(): boolean {
    return this.#state === HostLifecycleState.Ready ||
      this.#state === HostLifecycleState.Leaving;
  }

  /** Whether the host has been told to go. */
  get going(): boolean {
    return this.#state !== HostLifecycleState.Starting &&
      this.#state !== HostLifecycleState.Ready;
  }

  /** Takes an event; false if it does not apply in this state. */
  handle(event: HostLifecycleEvent): boolean {
    if (!chart.hasTransition(this.#state, event)) return false;
    this.#state = chart.next(
      this.#state,
      event,
      undefined,
    ) as HostLifecycleState;
    this.#onChange(this.#state);
    return true;
  }
}
