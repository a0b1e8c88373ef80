/** Serves the messages of other gateway hosts. */
import { createServer, type Server } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import {
  type FeedStreamOptions,
  isFeedRequest,
  serveFeeds,
} from "./feed_stream.ts";
import { createGatewayRouter, type GatewayHandlers } from "./gateway_router.ts";
import {
  isJobMessage,
  type JobHandlers,
  serveJobMessage,
} from "./job_endpoint.ts";

/** Idle time after which a peer's connection is closed, in milliseconds. */
const PEER_IDLE_MS = 60_000;

/** Creates the server; the caller makes it listen. */
export function createGatewayPeerServer(
  handlers: GatewayHandlers & JobHandlers & { feeds: FeedStreamOptions },
): Server {
  const trpc = createHTTPHandler({ router: createGatewayRouter(handlers) });
  return createServer(
    { keepAliveTimeout: PEER_IDLE_MS, noDelay: true },
    (request, response) => {
      if (isJobMessage(request)) {
        void serveJobMessage(request, response, handlers);
      } else if (isFeedRequest(request)) serveFeeds(response, handlers.feeds);
      else void trpc(request, response);
    },
  );
}
