/** A manifest of a small deployment. */
export function manifest(version, changes = {}) {
  const route = (name, kind, extra = {}) => ({
    name,
    hostname: "fleet.example",
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 1500,
    target_latency_ms: 200,
    priority: 1,
    service: "desk",
    max_attempts: kind === "unsafe" ? 1 : 2,
    public: false,
    sticky: false,
    resumable: false,
    ...extra,
  });
  return {
    version,
    routes: [route("stamp", "unsafe"), route("lookup", "safe")],
    services: [{
      name: "desk",
      health_path: "/health",
      max_connections: 110,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: "docks", api_keys: ["key-docks"], priority: 1 }],
    ...changes,
  };
}

/** The services and routes of a pool of model engines. */
export function modelManifest(version, routes) {
  return manifest(version, {
    routes: Object.entries(routes).map(([name, extra]) => ({
      name,
      hostname: "fleet.example",
      path_prefix: `/${name}/`,
      kind: "streaming",
      timeout_ms: 6000,
      target_latency_ms: 1000,
      target_gap_ms: 400,
      priority: 1,
      service: "model",
      max_attempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      ...extra,
    })),
    services: [MODEL_SERVICE],
  });
}

export const MODEL_SERVICE = {
  name: "model",
  health_path: "/health",
  max_connections: 620,
  protocol: "h1",
  tls: false,
  engine: {
    slots: 128,
    kv_capacity_tokens: 664165,
    kv_token_bytes: 18432,
    link_mbps: 370000,
    moves: false,
    backups: false,
    stride: 5,
    most: 12,
    pin_ms: 4000,
    hold_ms: 2000,
    handle_s: 5,
    models: [{ name: "m" }],
  },
};
