/** Writes a request's outcome to its caller, as one document or as a stream. */
import type { ServerResponse } from "node:http";
import {
  type CompletedOutcome,
  type Outcome,
  OutcomeKind,
} from "../pipelines/outcome.ts";
import { incompleteOutcomeProblem, sendProblem } from "./problem.ts";

/** Event names of a stream; the last event is always `done` or `error`. */
export enum StreamEvent {
  Text = "text",
  Done = "done",
  Error = "error",
}

/** Sends an outcome as one JSON document or as problem details. */
export function sendOutcome(
  response: ServerResponse,
  outcome: Outcome,
  request_id: string,
): void {
  if (outcome.kind !== OutcomeKind.Completed) {
    return sendProblem(response, incompleteOutcomeProblem(outcome, request_id));
  }
  response.statusCode = 200;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(completionBody(outcome, request_id)));
}

/**
 * Streams text as it is generated; the headers are sent with the first text.
 */
export class StreamResponse {
  #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /**
   * Sends text unless the response has ended. The promise is pending while the
   * caller reads too slowly, and resolves when it catches up or disconnects.
   */
  sendText = (text: string): Promise<void> | void => {
    if (this.#response.writableEnded) return;
    this.#writeHeadOnce();
    if (this.#write(StreamEvent.Text, { text })) return;
    return waitUntilWritable(this.#response);
  };

  /** Ends the stream with its terminal event. */
  finish(outcome: Outcome, request_id: string): void {
    if (outcome.kind === OutcomeKind.Completed) {
      this.#writeHeadOnce();
      this.#write(StreamEvent.Done, completionBody(outcome, request_id));
    } else if (this.#response.headersSent) {
      this.#write(
        StreamEvent.Error,
        incompleteOutcomeProblem(outcome, request_id),
      );
    } else {
      return sendOutcome(this.#response, outcome, request_id);
    }
    this.#response.end();
  }

  #writeHeadOnce(): void {
    if (this.#response.headersSent) return;
    this.#response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
  }

  #write(event: StreamEvent, data: unknown): boolean {
    const text = `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
    return this.#response.write(text);
  }
}

function completionBody(outcome: CompletedOutcome, request_id: string) {
  const { output, stages } = outcome;
  return { request_id, output, stages };
}

function waitUntilWritable(response: ServerResponse): Promise<void> {
  if (response.closed) return Promise.resolve();
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done);
      response.off("close", done);
      resolve();
    };
    response.once("drain", done);
    response.once("close", done);
  });
}
