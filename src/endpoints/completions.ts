/**
 * Reads an OpenAI-style completion streamed as server-sent events. The response
 * is complete only once the terminal `[DONE]` event has arrived.
 */
import type { IncomingMessage } from "node:http";
import { createParser } from "eventsource-parser";
import { RecordSplitter } from "../bodies/record_splitter.ts";
import { AttemptError, AttemptOutcome, type StageResponse } from "./attempt.ts";
import { LengthLimit } from "./message_body.ts";

/** Callbacks invoked while a stream is read. */
export interface CompletionCallbacks {
  /**
   * Called with each piece of text; reading pauses until its promise resolves.
   */
  onText: ((text: string) => Promise<void> | void) | undefined;
  /**
   * Called before waiting for `onText`; that wait is not the endpoint's
   * inactivity.
   */
  onBackpressure: () => void;
  /**
   * Called when a chunk has been processed and reading from the endpoint
   * resumes.
   */
  onProgress: () => void;
}

interface CompletionEvent {
  choices?: { text?: string; finish_reason?: string | null }[];
  usage?: { total_tokens?: number };
  error?: { message?: string };
}

const TERMINAL_EVENT_DATA = "[DONE]";

/**
 * Reads up to the terminal event; throws `AttemptError` if the stream ends
 * before it.
 */
export async function readCompletions(
  response: IncomingMessage,
  callbacks: CompletionCallbacks,
): Promise<StageResponse> {
  const pendingData: string[] = [];
  const parser = createParser({
    onEvent: (event) => pendingData.push(event.data),
  });
  const texts: string[] = [];
  const lengthLimit = new LengthLimit();
  let cost = 0;
  // The parser would search an incomplete line again for each chunk.
  const lines = new RecordSplitter(["\n", "\r"]);
  // The connection is reused, so leaving the loop must not destroy it.
  const chunks = response.iterator({ destroyOnReturn: false });
  for await (const chunk of chunks) {
    lengthLimit.add((chunk as Buffer).length);
    parser.feed(lines.push(chunk as Buffer).toString("utf8"));
    for (const data of pendingData.splice(0)) {
      if (data === TERMINAL_EVENT_DATA) return { output: texts.join(""), cost };
      const event = parseEvent(data);
      cost = event.usage?.total_tokens ?? cost;
      const text = event.choices?.[0]?.text ?? "";
      texts.push(text);
      await deliverText(text, callbacks);
    }
    callbacks.onProgress();
  }
  throw new AttemptError(
    AttemptOutcome.Truncated,
    "The stream ended before [DONE]",
  );
}

async function deliverText(
  text: string,
  callbacks: CompletionCallbacks,
): Promise<void> {
  if (text === "" || callbacks.onText === undefined) return;
  callbacks.onBackpressure();
  await callbacks.onText(text);
}

function parseEvent(data: string): CompletionEvent {
  let event: CompletionEvent;
  try {
    event = JSON.parse(data) as CompletionEvent;
  } catch {
    throw new AttemptError(AttemptOutcome.Failed, "An event is not JSON");
  }
  if (event.error !== undefined) {
    const message = event.error.message ?? "The endpoint reported an error";
    throw new AttemptError(AttemptOutcome.Failed, message);
  }
  return event;
}
