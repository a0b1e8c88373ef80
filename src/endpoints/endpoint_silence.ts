/**
 * Tells the silence of a sound endpoint, which may say nothing for a second or so
 * and goes on, from that of a lost one. Does no I/O and reads no clock: callers
 * pass the time in.
 */

/** Longest time for which a sound endpoint says nothing at all. */
const MAX_SOUND_SILENCE_MS = 1_500;

/** The silence of one endpoint. */
export class EndpointSilence {
  #answered_ms = -Infinity;
  /** When the first request was sent that got no answer since the last one. */
  #since_ms = Infinity;

  /** Records an answer to any request. */
  recordAnswer(now_ms: number): void {
    this.#answered_ms = now_ms;
    this.#since_ms = Infinity;
  }

  /**
   * Records a request that timed out; returns whether the endpoint may be sound.
   * One that answered other requests meanwhile was not silent.
   */
  recordTimeout(sent_ms: number, now_ms: number): boolean {
    if (this.#answered_ms > sent_ms) return false;
    this.#since_ms = Math.min(this.#since_ms, sent_ms);
    return now_ms - this.#since_ms <= MAX_SOUND_SILENCE_MS;
  }
}
