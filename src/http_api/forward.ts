/** Passes a caller's request on to the host that minted its key. */
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as openRequest,
  type ServerResponse,
} from "node:http";
import { parseAddress } from "../settings/settings.ts";
import { RequestHeader } from "./read_request.ts";

/** How forwarding ended. */
export enum ForwardEnd {
  /** The other host's answer went to the caller. */
  Answered = "answered",
  /** The other host did not get the request. */
  NotSent = "not_sent",
  /** The other host may have got the request and gave no whole answer. */
  Lost = "lost",
}

/** Forwards a request whose body has been read. */
export function forwardRequest(
  original: { request: IncomingMessage; body: string },
  response: ServerResponse,
  target: { address: string; self: string; timeout_ms: number },
): Promise<ForwardEnd> {
  return new Promise((resolve) => {
    const { ip, port } = parseAddress(target.address);
    const { request, body } = original;
    let sent = false;
    const outgoing = openRequest({
      agent: false,
      host: ip,
      port,
      method: request.method,
      path: request.url,
      headers: forwardedHeaders(request.headers, body, target.self),
      timeout: target.timeout_ms,
    });
    const fail = () => resolve(sent ? ForwardEnd.Lost : ForwardEnd.NotSent);
    outgoing.on(
      "socket",
      (socket) => socket.once("connect", () => sent = true),
    );
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", fail);
    response.once("close", () => outgoing.destroy());
    outgoing.on("response", (incoming) => {
      response.writeHead(incoming.statusCode ?? 502, incoming.headers);
      incoming.on("error", () => {
        response.destroy();
        resolve(ForwardEnd.Answered);
      });
      incoming.on("end", () => resolve(ForwardEnd.Answered));
      incoming.pipe(response);
    });
    outgoing.end(body);
  });
}

function forwardedHeaders(
  headers: IncomingHttpHeaders,
  body: string,
  self: string,
): IncomingHttpHeaders {
  const { connection: _, "transfer-encoding": __, ...rest } = headers;
  return {
    ...rest,
    "content-length": String(Buffer.byteLength(body)),
    [RequestHeader.Forwarded]: self,
  };
}
