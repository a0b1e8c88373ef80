/** An in-memory platform for tests, with simulated failures. */
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Platform,
  PlatformFailureKind,
  type PlatformListing,
  type PlatformObject,
  type PlatformResult,
  type WriteCondition,
} from "../src/object_api/types.ts";

/** How long a watch waits for a change. */
const WATCH_MS = 5;

function failed<T>(
  kind: PlatformFailureKind,
  sent: boolean,
): PlatformResult<T> {
  return { ok: false, failure: { kind, sent, message: kind } };
}

/** The content of a {@linkcode FakePlatform} at one moment. */
export interface FakePlatformCopy {
  objects: Map<string, PlatformObject>;
  revision: number;
}

/**
 * Keeps objects in memory; can be unavailable, lose write responses and go back
 * to a copy.
 */
export class FakePlatform implements Platform {
  objects = new Map<string, PlatformObject>();
  /** Whether reads and writes fail without effect. */
  unavailable = false;
  /** Number of next writes that take effect but whose response is lost. */
  lostWriteResponses = 0;
  onWriteResponseLost: () => void = () => {};
  writes = 0;
  #revision = 0;

  /** Copies the current content. */
  copy(): FakePlatformCopy {
    return { objects: new Map(this.objects), revision: this.#revision };
  }

  /** Goes back to a copy, whose later revisions are given out again. */
  restore({ objects, revision }: FakePlatformCopy): void {
    this.objects = new Map(objects);
    this.#revision = revision;
  }

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

  async watch(
    key: string,
    { version }: { version: string },
  ): Promise<PlatformResult<PlatformObject | undefined>> {
    await sleep(WATCH_MS);
    const read = await this.get(key);
    return read.ok && read.value?.version === version
      ? { ok: true, value: undefined }
      : read;
  }

  async list(prefix: string): Promise<PlatformResult<PlatformListing>> {
    await Promise.resolve();
    const objects = [...this.objects.values()].filter((object) =>
      object.key.startsWith(prefix)
    );
    return { ok: true, value: { revision: this.#revision, objects } };
  }

  async watchPrefix(
    prefix: string,
    { revision }: { revision: number },
  ): Promise<PlatformResult<PlatformListing | undefined>> {
    await sleep(WATCH_MS);
    if (this.unavailable) return failed(PlatformFailureKind.Unavailable, false);
    const isSame = revision <= this.#revision &&
      this.#prefixRevision(prefix) <= revision;
    return isSame ? { ok: true, value: undefined } : await this.list(prefix);
  }

  #prefixRevision(prefix: string): number {
    const versions = [...this.objects.values()]
      .filter(({ key }) => key.startsWith(prefix))
      .map(({ version }) => Number(version));
    return Math.max(0, ...versions);
  }

  hosts(): Promise<PlatformResult<[]>> {
    return Promise.resolve({ ok: true, value: [] });
  }
}
