/** Serves metrics in the Prometheus text format. */
import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";

/** Creates a server that returns the registry's metrics on every path. */
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
