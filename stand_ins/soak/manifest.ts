/** The manifest of a soak. Each version has a probe route that no other has. */

/** Services of a soak. */
export enum SoakService {
  /** Streams that may be resumed. */
  Model = "model",
  /** Requests that are answered in one body. */
  Desk = "desk",
}

/** Longest time that a caller waits for a whole stream. */
export const DEADLINE_MS = 4_500;

/** Path of the probe of a manifest version. */
export function probePath(version: number): string {
  return `/probe-${version}/x`;
}

/** Content of a version. */
export function createManifest(version: number): object {
  return {
    version,
    routes: [
      createRoute("draft", {
        kind: "streaming",
        service: SoakService.Model,
        resumable: true,
      }),
      createRoute("stamp", { kind: "unsafe", service: SoakService.Desk }),
      createRoute(`probe-${version}`, {
        kind: "safe",
        service: SoakService.Desk,
      }),
    ],
    services: [
      createService(SoakService.Model, { engine: { slots: 40 } }),
      createService(SoakService.Desk),
    ],
    limits: {
      max_header_bytes: 8_192,
      max_body_bytes: 20_000,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
    tenants: [],
  };
}

function createRoute(name: string, changes: object): object {
  return {
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    timeout_ms: DEADLINE_MS,
    target_latency_ms: 300,
    target_gap_ms: 400,
    priority: 1,
    max_attempts: 2,
    public: true,
    sticky: false,
    resumable: false,
    ...changes,
  };
}

function createService(name: SoakService, changes: object = {}): object {
  return {
    name,
    health_path: "/health",
    max_connections: 110,
    protocol: "h1",
    tls: false,
    ...changes,
  };
}
