/** tRPC clients of entry hosts, one for each address. */
import { createTRPCClient, httpLink, type TRPCClient } from "@trpc/client";
import { formatAddress, parseAddress } from "../settings/settings.ts";
import { createHttpFetch } from "../utils/http_fetch.ts";
import type { PeerRpcRouter } from "./peer_rpc_router.ts";

/** Typed client of one host. */
export type PeerClient = TRPCClient<PeerRpcRouter>;

interface OpenClient {
  client: PeerClient;
  close: () => void;
}

/** Opens and caches the clients of all peers; `timeout_ms` bounds each call. */
export class PeerClients {
  #open = new Map<string, OpenClient>();
  #options: { secret: string; timeout_ms: number };

  constructor(options: { secret: string; timeout_ms: number }) {
    this.#options = options;
  }

  /** Returns the client for an address. */
  clientFor(address: string): PeerClient {
    const known = this.#open.get(address);
    if (known !== undefined) return known.client;
    const created = openClient(address, this.#options);
    this.#open.set(address, created);
    return created.client;
  }

  /** Closes the clients of all other addresses. */
  closeAllExcept(addresses: ReadonlySet<string>): void {
    for (const [address, { close }] of this.#open) {
      if (addresses.has(address)) continue;
      close();
      this.#open.delete(address);
    }
  }

  /** Closes every client. */
  close(): void {
    this.closeAllExcept(new Set());
  }
}

function openClient(
  address: string,
  options: { secret: string; timeout_ms: number },
): OpenClient {
  const target = parseAddress(address);
  const { fetch, close } = createHttpFetch(target, options.timeout_ms);
  const client = createTRPCClient<PeerRpcRouter>({
    links: [httpLink({
      url: `http://${formatAddress(target)}`,
      headers: { authorization: `Bearer ${options.secret}` },
      fetch: fetch as unknown as typeof globalThis.fetch,
    })],
  });
  return { client, close };
}
