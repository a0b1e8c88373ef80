/** HTTP server for calls from other gateway hosts. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { isExchange } from "../relaying/exchange_carrier.ts";
import { MAX_HEAD_BYTES } from "../relaying/exchange_head.ts";
import { closeIfIncomplete } from "../utils/close_if_incomplete.ts";
import {
  decodeOptionalFeeds,
  type FeedStreamOptions,
  isFeedStreamRequest,
  serveFeedStream,
} from "./feed_stream.ts";
import {
  createGatewayRpcRouter,
  type GatewayRpcHandlers,
} from "./gateway_rpc_router.ts";
import {
  isJobMessage,
  type JobHandlers,
  serveJobMessage,
} from "./job_messages.ts";

/** Serves an exchange that another host passes on; never rejects. */
export type ServeExchange = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

/** Idle time after which a peer's connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Largest message to a tRPC procedure: 4 MiB. */
const MAX_BODY_BYTES = 4_194_304;

/** Creates the server, which is not yet listening. */
export function createGatewayPeerServer(
  handlers: GatewayRpcHandlers & JobHandlers & {
    feeds: FeedStreamOptions;
    serveExchange: ServeExchange;
  },
): Server {
  const trpc = createHTTPHandler({
    router: createGatewayRpcRouter(handlers),
    maxBodySize: MAX_BODY_BYTES,
  });
  return createServer(
    {
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      maxHeaderSize: MAX_HEAD_BYTES,
      noDelay: true,
    },
    (request, response) => {
      closeIfIncomplete(request, response);
      if (isJobMessage(request)) {
        void serveJobMessage(request, response, handlers);
      } else if (isExchange(request)) {
        void handlers.serveExchange(request, response);
      } else if (isFeedStreamRequest(request)) {
        serveFeedStream(response, {
          ...handlers.feeds,
          optionalFeeds: decodeOptionalFeeds(request),
        });
      } else void trpc(request, response);
    },
  );
}
