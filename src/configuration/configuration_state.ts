/** The configuration in force on this host; its generation never falls. */
import { emptyRecordSet, type RecordSet } from "../records/record_set.ts";
import { type AcceptedConfiguration, indexAccepted } from "./accepted.ts";

/** Where a configuration came from. */
export enum ConfigurationSource {
  Platform = "platform",
  Peer = "peer",
}

/** Called when a new generation is in force. */
export type OnGeneration = (
  generation: number,
  source: ConfigurationSource,
) => void;

/** Holds the accepted configuration and its index. */
export class ConfigurationState {
  #accepted: AcceptedConfiguration | undefined;
  #records: RecordSet = emptyRecordSet();
  #onGeneration: OnGeneration;

  constructor(onGeneration: OnGeneration) {
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
  offer(accepted: AcceptedConfiguration, source: ConfigurationSource): boolean {
    if (accepted.generation <= this.generation) return false;
    this.#records = indexAccepted(accepted);
    this.#accepted = accepted;
    this.#onGeneration(accepted.generation, source);
    return true;
  }
}
