/** Plain JSON calls over Node's `http`, as a caller would make them. */
import { Agent, type IncomingHttpHeaders, request } from "node:http";

/** A whole answer; `json` is undefined when the body is not JSON. */
export interface JsonResponse {
  status: number;
  headers: IncomingHttpHeaders;
  text: string;
  // deno-lint-ignore no-explicit-any
  json: any;
}

/** Options of a call. */
export interface JsonRequestOptions {
  method?: string;
  headers?: Record<string, string>;
  timeout_ms?: number;
}

const DEFAULT_TIMEOUT_MS = 30_000;
const agent = new Agent({ keepAlive: true });

/** Gets a path; rejects if there is no whole answer. */
export function getJson(
  address: string,
  path: string,
  options: JsonRequestOptions = {},
): Promise<JsonResponse> {
  return sendJsonRequest(address, path, { method: "GET", ...options });
}

/** Sends a JSON body; rejects if there is no whole answer. */
export function postJson(
  address: string,
  path: string,
  body: unknown,
  options: JsonRequestOptions = {},
): Promise<JsonResponse> {
  const text = JSON.stringify(body);
  return sendJsonRequest(address, path, { method: "POST", text, ...options });
}

/** Sends a body as it is; rejects if there is no whole answer. */
export function sendJsonRequest(
  address: string,
  path: string,
  options: JsonRequestOptions & { text?: string },
): Promise<JsonResponse> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const outgoing = request({
      agent,
      host,
      port,
      path,
      method: options.method,
      headers: { "content-type": "application/json", ...options.headers },
    });
    const limit_ms = options.timeout_ms ?? DEFAULT_TIMEOUT_MS;
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`No answer within ${limit_ms} ms`)),
      limit_ms,
    );
    const fail = (error: Error) => {
      clearTimeout(timer);
      reject(error);
    };
    outgoing.on("error", fail);
    outgoing.on("response", (incoming) => {
      let text = "";
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk: string) => text += chunk);
      incoming.on("error", fail);
      incoming.on("end", () => {
        clearTimeout(timer);
        const { statusCode: status = 0, headers } = incoming;
        resolve({ status, headers, text, json: parse(text) });
      });
    });
    outgoing.end(options.text);
  });
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
