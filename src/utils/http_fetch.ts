/** A `fetch` function based on HttpClient, for libraries that require one. */
import { HttpClient } from "./http_client.ts";
import type { Address } from "../settings/settings.ts";

/** The part of the `fetch` signature that tRPC's links use. */
export type FetchFunction = (
  url: string,
  init?: {
    method?: string;
    headers?: unknown;
    body?: unknown;
    signal?: AbortSignal | null;
  },
) => Promise<Response>;

/**
 * Creates a `fetch` that sends every request to `address`, whatever host its
 * URL names; rejects with HttpRequestError if there is no complete response.
 */
export function createHttpFetch(
  address: Address,
  timeout_ms: number,
): { fetch: FetchFunction; close: () => void } {
  const client = new HttpClient(address);
  return {
    close: () => client.close(),
    fetch: async (url, init) => {
      const { pathname, search } = new URL(url);
      const response = await client.send({
        method: init?.method ?? "GET",
        path: pathname + search,
        headers: Object.fromEntries(
          new Headers(init?.headers as Record<string, string>),
        ),
        body: typeof init?.body === "string" ? init.body : undefined,
        timeout_ms,
        signal: init?.signal ?? undefined,
      });
      return new Response(response.body, { status: response.status });
    },
  };
}
