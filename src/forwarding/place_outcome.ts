/** How a request ended, as the issuer of its endpoint's places counts it. */
import { isRejection, type SendResult } from "./send_result.ts";
import { ObservedOutcome } from "../routing/observed_load.ts";
import { PlaceOutcome } from "../endpoint_places/types.ts";

/**
 * Multiple of a route's usual time to the first byte from which a response is
 * late. Lower ones would count an endpoint whose neighbours on the same hardware
 * are busy for a moment.
 */
const LATE_FACTOR = 3;
/** Added to that time, so that a delay of this host does not count. */
const LATE_MARGIN_MS = 15;

/** How a send ended; undefined if it tells nothing of the endpoint. */
export function placeOutcomeOf(
  result: SendResult,
  { sent_ms, usual_ms }: {
    sent_ms: number;
    /** The route's usual time to the first byte; 0 if it isn't known. */
    usual_ms: number;
  },
): PlaceOutcome | undefined {
  switch (result.observedOutcome) {
    case ObservedOutcome.Success:
      return outcomeOfAnswer(result.first_byte_ms - sent_ms, usual_ms);
    case ObservedOutcome.Full:
      return isRejection(result) ? PlaceOutcome.Rejected : undefined;
    case ObservedOutcome.ConnectionFailed:
    case ObservedOutcome.Error:
    case ObservedOutcome.Silent:
      return PlaceOutcome.Failed;
    default:
      return undefined;
  }
}

/** How a response counts whose first byte came after this time. */
export function outcomeOfAnswer(
  first_byte_ms: number,
  usual_ms: number,
): PlaceOutcome {
  const isLate = usual_ms > 0 &&
    first_byte_ms > LATE_FACTOR * usual_ms + LATE_MARGIN_MS;
  return isLate ? PlaceOutcome.Late : PlaceOutcome.InTime;
}
