/** Serves a registry's metrics as text. */
import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";

/** Creates the server; the caller makes it listen. */
export function createMetricsServer(registry: Registry): Server {
  return createServer((_request, response) => {
    registry.metrics().then((text) => {
      response.setHeader("Content-Type", registry.contentType);
      response.end(text);
    }, (error: Error) => {
      response.writeHead(500);
      response.end(error.message);
    });
  });
}
