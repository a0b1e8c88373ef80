/** The configuration in force on this host; its generation never falls. */
import { createEmptyRecordSet, type RecordSet } from "../records/record_set.ts";
import {
  type AcceptedConfiguration,
  indexAcceptedRecords,
} from "./accepted_configuration.ts";

/** Where a configuration came from. */
export enum ConfigurationSource {
  Platform = "platform",
  Peer = "peer",
}

/** Called when a new generation is in force. */
export type OnGenerationChange = (
  generation: number,
  source: ConfigurationSource,
) => void;

/** Holds the accepted configuration and its index. */
export class ConfigurationState {
  #accepted: AcceptedConfiguration | undefined;
  #records: RecordSet = createEmptyRecordSet();
  #onGeneration: OnGenerationChange;

  constructor(onGeneration: OnGenerationChange) {
    this.#onGeneration = onGeneration;
  }

  /** The generation in force; 0 before the first one. */
  get generation(): number {
    return this.#accepted?.generation ?? 0;
  }

  /** The records in force. */
  get records(): RecordSet {
    return this.#records;
  }

  /** The configuration in force, to be handed to peers. */
  get accepted(): AcceptedConfiguration | undefined {
    return this.#accepted;
  }

  /** Takes a configuration if its generation is higher; says whether it did. */
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
