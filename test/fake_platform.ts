/** An in-memory platform for tests, with simulated failures. */
import {
  type Platform,
  PlatformFailureKind,
  type PlatformListing,
  type PlatformObject,
  type PlatformResult,
  type WriteCondition,
} from "../src/object_api/types.ts";

function failed<T>(
  kind: PlatformFailureKind,
  sent: boolean,
): PlatformResult<T> {
  return { ok: false, failure: { kind, sent, message: kind } };
}

/** Keeps objects in memory; can be unavailable or lose write responses. */
export class FakePlatform implements Platform {
  objects = new Map<string, PlatformObject>();
  /** Whether reads and writes fail without effect. */
  unavailable = false;
  /** Number of next writes that take effect but whose response is lost. */
  lostWriteResponses = 0;
  onWriteResponseLost: () => void = () => {};
  writes = 0;
  #revision = 0;

  async get(key: string): Promise<PlatformResult<PlatformObject | undefined>> {
    await Promise.resolve();
    if (this.unavailable) return failed(PlatformFailureKind.Unavailable, false);
    return { ok: true, value: this.objects.get(key) };
  }

  async put(
    key: string,
    value: unknown,
    condition: WriteCondition,
  ): Promise<PlatformResult<string>> {
    await Promise.resolve();
    if (this.unavailable) return failed(PlatformFailureKind.Unavailable, false);
    const version = this.objects.get(key)?.version;
    const expected = "version" in condition ? condition.version : undefined;
    if (version !== expected) return failed(PlatformFailureKind.Conflict, true);
    this.writes += 1;
    this.#revision += 1;
    const next = String(this.#revision);
    this.objects.set(key, { key, version: next, value });
    if (this.lostWriteResponses > 0) {
      this.lostWriteResponses -= 1;
      this.onWriteResponseLost();
      return failed(PlatformFailureKind.Unavailable, true);
    }
    return { ok: true, value: next };
  }

  async delete(key: string): Promise<PlatformResult<void>> {
    await Promise.resolve();
    this.objects.delete(key);
    return { ok: true, value: undefined };
  }

  watch(key: string): Promise<PlatformResult<PlatformObject | undefined>> {
    return this.get(key);
  }

  async list(prefix: string): Promise<PlatformResult<PlatformListing>> {
    await Promise.resolve();
    const objects = [...this.objects.values()].filter((object) =>
      object.key.startsWith(prefix)
    );
    return { ok: true, value: { revision: this.#revision, objects } };
  }

  watchPrefix(
    prefix: string,
  ): Promise<PlatformResult<PlatformListing | undefined>> {
    return this.list(prefix);
  }

  hosts(): Promise<PlatformResult<[]>> {
    return Promise.resolve({ ok: true, value: [] });
  }
}
