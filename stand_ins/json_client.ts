/** A minimal JSON client over `node:http`, in the place of a caller's. */
import { Agent, type IncomingHttpHeaders, request } from "node:http";

/** A complete response; `json` is `undefined` if the body is not valid JSON. */
export interface JsonResponse {
  status: number;
  headers: IncomingHttpHeaders;
  text: string;
  // deno-lint-ignore no-explicit-any
  json: any;
}

/** Options of a request. */
export interface JsonRequestOptions {
  method?: string;
  headers?: Record<string, string>;
  timeout_ms?: number;
}

const DEFAULT_TIMEOUT_MS = 30_000;
const agent = new Agent({ keepAlive: true });

/** Sends a GET request; rejects unless a complete response arrives in time. */
export function getJson(
  address: string,
  path: string,
  options: JsonRequestOptions = {},
): Promise<JsonResponse> {
  return sendJsonRequest(address, path, { method: "GET", ...options });
}

/**
 * Sends a body as JSON, with POST by default; rejects unless a complete
 * response arrives in time.
 */
export function postJson(
  address: string,
  path: string,
  body: unknown,
  options: JsonRequestOptions = {},
): Promise<JsonResponse> {
  const text = JSON.stringify(body);
  return sendJsonRequest(address, path, { method: "POST", text, ...options });
}

/**
 * Sends `text` unchanged as the body; rejects unless a complete response
 * arrives in time.
 */
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
    const timeout_ms = options.timeout_ms ?? DEFAULT_TIMEOUT_MS;
    const timer = setTimeout(
      () => outgoing.destroy(new Error(`No response within ${timeout_ms} ms`)),
      timeout_ms,
    );
    const rejectWith = (error: Error) => {
      clearTimeout(timer);
      reject(error);
    };
    outgoing.on("error", rejectWith);
    outgoing.on("response", (incoming) => {
      let text = "";
      incoming.setEncoding("utf8");
      incoming.on("data", (chunk: string) => text += chunk);
      incoming.on("error", rejectWith);
      incoming.on("end", () => {
        clearTimeout(timer);
        const { statusCode: status = 0, headers } = incoming;
        resolve({ status, headers, text, json: parseJson(text) });
      });
    });
    outgoing.end(options.text);
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
