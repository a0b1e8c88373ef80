/** The active configuration of this host; its generation never decreases. */
import { createEmptyRecordSet, type RecordSet } from "../records/record_set.ts";
import {
  type AcceptedConfiguration,
  indexAcceptedRecords,
} from "./accepted_configuration.ts";

/** Where this host received a configuration from. */
export enum ConfigurationSource {
  Platform = "platform",
  Peer = "peer",
}

/** Called after a new generation has become active. */
export type OnGenerationChange = (
  generation: number,
  source: ConfigurationSource,
) => void;

/** Holds the active configuration and the index of its records. */
export class ConfigurationState {
  #accepted: AcceptedConfiguration | undefined;
  #records: RecordSet = createEmptyRecordSet();
  #onGeneration: OnGenerationChange;

  constructor(onGeneration: OnGenerationChange) {
    this.#onGeneration = onGeneration;
  }

  /** The active generation; 0 before the first configuration. */
  get generation(): number {
    return this.#accepted?.generation ?? 0;
  }

  /** The active records; empty before the first configuration. */
  get records(): RecordSet {
    return this.#records;
  }

  /** The active configuration, to be sent to peers; undefined if none. */
  get accepted(): AcceptedConfiguration | undefined {
    return this.#accepted;
  }

  /** Applies a configuration of a higher generation; returns whether it did. */
  applyIfNewer(
    accepted: AcceptedConfiguration,
    source: ConfigurationSource,
  ): boolean {
    if (accepted.generation <= this.generation) return false;
    this.#records = indexAcceptedRecords(accepted);
    this.#accepted = accepted;
    this.#onGeneration(accepted.generation, source);
    return true;
  }
}
