/** HTTP server for the tRPC procedures of an entry host. */
import { timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { closeIfIncomplete } from "../utils/close_if_incomplete.ts";
import { sha256Hex } from "../utils/sha256.ts";
import { CallerRole, type PeerRpcRouter } from "./peer_rpc_router.ts";

const MAX_BODY_BYTES = 1_048_576;

/** Bearer secrets of the caller roles. */
export interface RoleSecrets {
  peers: string;
  operators: string;
}

/** Creates the server, which is not yet listening. */
export function createPeerServer(
  router: PeerRpcRouter,
  secrets: RoleSecrets,
): Server {
  const handler = createHTTPHandler({
    router,
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({ role: resolveRole(req, secrets) }),
  });
  return createServer((request, response) => {
    closeIfIncomplete(request, response);
    handler(request, response);
  });
}

function resolveRole(
  request: IncomingMessage,
  secrets: RoleSecrets,
): CallerRole {
  const header = request.headers.authorization ?? "";
  if (secretsEqual(header, `Bearer ${secrets.peers}`)) return CallerRole.Peer;
  if (secretsEqual(header, `Bearer ${secrets.operators}`)) {
    return CallerRole.Operator;
  }
  return CallerRole.Unauthenticated;
}

function secretsEqual(received: string, expected: string): boolean {
  return timingSafeEqual(
    Buffer.from(sha256Hex(received)),
    Buffer.from(sha256Hex(expected)),
  );
}
