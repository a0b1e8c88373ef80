/** Lifecycle of this host's process, from the state chart `host_lifecycle`. */
import { createChart } from "../charts/chart.ts";

/** States of the state chart. */
export enum HostLifecycleState {
  /** Waiting for the first configuration. */
  Starting = "starting",
  Ready = "ready",
  /** Not ready for the load balancer, but still accepting requests. */
  Leaving = "leaving",
  /** Rejecting new requests and finishing running ones. */
  Draining = "draining",
  Stopped = "stopped",
}

/** Events of the state chart. */
export enum HostLifecycleEvent {
  /** The first configuration has become active. */
  Configured = "CONFIGURED",
  /** The host was asked to drain. */
  Drain = "DRAIN",
  /** The load balancer has had time to notice that the host is not ready. */
  GracePeriodOver = "GRACE_OVER",
  /** No request is running any more. */
  Idle = "IDLE",
  /** The drain has exceeded its time limit. */
  Timeout = "TIMEOUT",
  /** The host was asked to stop immediately. */
  Stop = "STOP",
}

const chart = createChart<undefined>("host_lifecycle", {});

/** State machine of the state chart; calls `onChange` on each transition. */
export class HostLifecycle {
  #state = chart.initial as HostLifecycleState;
  #onChange: (state: HostLifecycleState) => void;

  constructor(onChange: (state: HostLifecycleState) => void) {
    this.#onChange = onChange;
  }

  /** The current state. */
  get state(): HostLifecycleState {
    return this.#state;
  }

  /** Whether new requests are accepted. */
  get acceptsRequests(): boolean {
    return this.#state === HostLifecycleState.Ready ||
      this.#state === HostLifecycleState.Leaving;
  }

  /** Whether the host was asked to drain or to stop. */
  get isShuttingDown(): boolean {
    return this.#state !== HostLifecycleState.Starting &&
      this.#state !== HostLifecycleState.Ready;
  }

  /**
   * Handles an event; returns false, without effect, if the state has no
   * transition for it.
   */
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
