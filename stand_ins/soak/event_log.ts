/** What happened in a soak, in order. */
export class EventLog {
  #started_ms = performance.now();
  #lines: string[] = [];

  /** Adds a line. */
  add(line: string): void {
    const elapsed_s = (performance.now() - this.#started_ms) / 1_000;
    this.#lines.push(`${elapsed_s.toFixed(3)} ${line}`);
  }

  /** All lines. */
  text(): string {
    return `${this.#lines.join("\n")}\n`;
  }
}
