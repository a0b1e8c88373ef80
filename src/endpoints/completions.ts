/**
 * Reads an OpenAI-style completion streamed as server-sent events. The answer
 * is whole only once the terminal `[DONE]` event has arrived.
 */
import type { IncomingMessage } from "node:http";
import { createParser } from "eventsource-parser";
import { AttemptEnd, AttemptError, type StageAnswer } from "./attempt.ts";

/** What the reader tells while it reads. */
export interface CompletionHooks {
  /** Receives each piece of text; its promise holds back the reader. */
  onText: ((text: string) => Promise<void> | void) | undefined;
  /** The reader waits for the receiver of the text. */
  onWaiting: () => void;
  /** The reader waits for the endpoint again. */
  onProgress: () => void;
}

interface CompletionEvent {
  choices?: { text?: string; finish_reason?: string | null }[];
  usage?: { total_tokens?: number };
  error?: { message?: string };
}

const TERMINAL = "[DONE]";

/** Reads to the terminal event; throws if the stream ends before it. */
export async function readCompletions(
  incoming: IncomingMessage,
  hooks: CompletionHooks,
): Promise<StageAnswer> {
  const pending: string[] = [];
  const parser = createParser({ onEvent: (event) => pending.push(event.data) });
  const texts: string[] = [];
  let cost = 0;
  incoming.setEncoding("utf8");
  // The connection is kept for the next call, so the iterator must not end it.
  const chunks = incoming.iterator({ destroyOnReturn: false });
  for await (const chunk of chunks) {
    parser.feed(chunk as string);
    for (const data of pending.splice(0)) {
      if (data === TERMINAL) return { output: texts.join(""), cost };
      const event = parseEvent(data);
      cost = event.usage?.total_tokens ?? cost;
      const text = event.choices?.[0]?.text ?? "";
      texts.push(text);
      await deliver(text, hooks);
    }
    hooks.onProgress();
  }
  throw new AttemptError(AttemptEnd.Cut, "The stream ended before [DONE]");
}

async function deliver(text: string, hooks: CompletionHooks): Promise<void> {
  if (text === "" || hooks.onText === undefined) return;
  hooks.onWaiting();
  await hooks.onText(text);
}

function parseEvent(data: string): CompletionEvent {
  let event: CompletionEvent;
  try {
    event = JSON.parse(data) as CompletionEvent;
  } catch {
    throw new AttemptError(AttemptEnd.Failed, "An event is not JSON");
  }
  if (event.error !== undefined) {
    const message = event.error.message ?? "The endpoint reported an error";
    throw new AttemptError(AttemptEnd.Failed, message);
  }
  return event;
}
