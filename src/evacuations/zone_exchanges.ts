/** Counts the exchanges with endpoints that run now, by availability zone. */
export class ZoneExchanges {
  #running = new Map<string, number>();

  /** Records that an exchange began; the returned function, that it has ended. */
  begin(zone: string): () => void {
    this.#add(zone, 1);
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.#add(zone, -1);
    };
  }

  /** The exchanges that run in each zone that had any. */
  running(): ReadonlyMap<string, number> {
    return this.#running;
  }

  #add(zone: string, change: number): void {
    this.#running.set(zone, (this.#running.get(zone) ?? 0) + change);
  }
}
