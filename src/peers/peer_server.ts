/** Serves the peer procedures on the address for peers. */
import { timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { sha256Hex } from "../utils/sha256.ts";
import { CallerRole, type PeerRpcRouter } from "./peer_rpc_router.ts";

const MAX_BODY_BYTES = 1_048_576;

/** The secrets that prove a role. */
export interface RoleSecrets {
  peers: string;
  operators: string;
}

/** Creates the server; the caller makes it listen. */
export function createPeerServer(
  router: PeerRpcRouter,
  secrets: RoleSecrets,
): Server {
  const handler = createHTTPHandler({
    router,
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => ({ role: roleOf(req, secrets) }),
  });
  return createServer(handler);
}

function roleOf(request: IncomingMessage, secrets: RoleSecrets): CallerRole {
  const header = request.headers.authorization ?? "";
  if (sameSecret(header, `Bearer ${secrets.peers}`)) return CallerRole.Peer;
  if (sameSecret(header, `Bearer ${secrets.operators}`)) {
    return CallerRole.Operator;
  }
  return CallerRole.Unauthenticated;
}

function sameSecret(given: string, expected: string): boolean {
  return timingSafeEqual(
    Buffer.from(sha256Hex(given)),
    Buffer.from(sha256Hex(expected)),
  );
}
