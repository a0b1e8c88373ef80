/** Proxies a caller's request to another host and relays its response. */
import {
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as openRequest,
  type ServerResponse,
} from "node:http";
import { parseAddress } from "../settings/settings.ts";
import { RequestHeader } from "./read_request.ts";

/** How proxying ended. The values are logged. */
export enum ProxyOutcome {
  /** The other host's response was relayed, possibly only in part. */
  ResponseRelayed = "answered",
  /** No connection was made: the other host has not received the request. */
  NotSent = "not_sent",
  /** The connection failed without a response: the request may have run. */
  ResponseLost = "lost",
}

/**
 * Proxies a request whose body has already been read; never rejects. `timeout_ms`
 * bounds the time without any data from the other host.
 */
export function proxyRequest(
  original: { request: IncomingMessage; body: string },
  response: ServerResponse,
  target: { address: string; forwardingHost: string; timeout_ms: number },
): Promise<ProxyOutcome> {
  return new Promise((resolve) => {
    let connected = false;
    let proxiedRequest: ClientRequest;
    try {
      proxiedRequest = createRequest(original, target);
    } catch {
      return resolve(ProxyOutcome.NotSent);
    }
    const resolveFailure = () =>
      resolve(connected ? ProxyOutcome.ResponseLost : ProxyOutcome.NotSent);
    proxiedRequest.on(
      "socket",
      (socket) => socket.once("connect", () => connected = true),
    );
    proxiedRequest.on("timeout", () => proxiedRequest.destroy());
    proxiedRequest.on("error", resolveFailure);
    // Neither an error nor a response follows a switch of protocols.
    proxiedRequest.on("close", () => {
      if (!response.headersSent) resolveFailure();
    });
    response.once("close", () => proxiedRequest.destroy());
    proxiedRequest.on("response", (targetResponse) => {
      targetResponse.on("error", () => {});
      try {
        response.writeHead(
          targetResponse.statusCode ?? 502,
          targetResponse.headers,
        );
      } catch {
        proxiedRequest.destroy();
        return resolveFailure();
      }
      targetResponse.on("error", () => {
        response.destroy();
        resolve(ProxyOutcome.ResponseRelayed);
      });
      targetResponse.on("end", () => resolve(ProxyOutcome.ResponseRelayed));
      targetResponse.pipe(response);
    });
    proxiedRequest.end(original.body);
  });
}

function createRequest(
  { request, body }: { request: IncomingMessage; body: string },
  { address, forwardingHost, timeout_ms }: {
    address: string;
    forwardingHost: string;
    timeout_ms: number;
  },
): ClientRequest {
  const { ip, port } = parseAddress(address);
  return openRequest({
    agent: false,
    host: ip,
    port,
    method: request.method,
    path: request.url,
    headers: proxiedHeaders(request.headers, body, forwardingHost),
    timeout: timeout_ms,
  });
}

function proxiedHeaders(
  headers: IncomingHttpHeaders,
  body: string,
  forwardingHost: string,
): IncomingHttpHeaders {
  const { connection: _, "transfer-encoding": __, ...rest } = headers;
  return {
    ...rest,
    "content-length": String(Buffer.byteLength(body)),
    [RequestHeader.Forwarded]: forwardingHost,
  };
}
