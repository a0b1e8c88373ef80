/** Writes a request's outcome to its caller, whole or as a stream. */
import type { ServerResponse } from "node:http";
import {
  type CompletedOutcome,
  type Outcome,
  OutcomeKind,
} from "../pipelines/outcome.ts";
import { refusalProblem, sendProblem } from "./problem.ts";

/** Names of the events of a stream; `done` or `error` is always the last. */
export enum StreamEvent {
  Text = "text",
  Done = "done",
  Error = "error",
}

/** Answers with one JSON document or one problem. */
export function sendOutcome(
  response: ServerResponse,
  outcome: Outcome,
  request_id: string,
): void {
  if (outcome.kind !== OutcomeKind.Completed) {
    return sendProblem(response, refusalProblem(outcome, request_id));
  }
  response.statusCode = 200;
  response.setHeader("content-type", "application/json");
  response.end(JSON.stringify(completionBody(outcome, request_id)));
}

/** Streams text as it comes; headers go out with the first text. */
export class StreamAnswer {
  #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends text unless the answer has ended; the promise holds back the sender while the caller is slow. */
  sendText = (text: string): Promise<void> | void => {
    if (this.#response.writableEnded) return;
    this.#begin();
    if (this.#write(StreamEvent.Text, { text })) return;
    return writable(this.#response);
  };

  /** Ends the stream with its terminal event. */
  finish(outcome: Outcome, request_id: string): void {
    if (outcome.kind === OutcomeKind.Completed) {
      this.#begin();
      this.#write(StreamEvent.Done, completionBody(outcome, request_id));
    } else if (this.#response.headersSent) {
      this.#write(StreamEvent.Error, refusalProblem(outcome, request_id));
    } else {
      return sendOutcome(this.#response, outcome, request_id);
    }
    this.#response.end();
  }

  #begin(): void {
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

function writable(response: ServerResponse): Promise<void> {
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
