/**
 * Builds the program as one executable that needs no node_modules:
 * dist/sesamequay, or sesamequay in the folder given as the first argument.
 * esbuild bundles the sources, and the bundle and its code cache are injected
 * into a copy of Node as a single executable application.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { build, type Plugin } from "esbuild";
import { inject } from "postject";

const root = join(import.meta.dirname, "..");
const FIRST_ARGUMENT_INDEX = 2;
const dist = join(root, process.argv[FIRST_ARGUMENT_INDEX] ?? "dist");
const bundle = join(dist, "sesamequay.cjs");
const codeCache = join(dist, "sesamequay.cache");
const mainScript = join(dist, "run_bundle.cjs");
const blob = join(dist, "sesamequay.blob");
const executable = join(dist, "sesamequay");
const seaConfiguration = join(dist, "sea.json");

/** Sentinel in Node's binary that marks an injected application. */
const SEA_SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync(dist, { recursive: true });
/**
 * Leaves out prom-client's push gateway, which nothing uses: it loads Node's
 * TLS modules at every start.
 */
const withoutPushGateway: Plugin = {
  name: "without-push-gateway",
  setup(build) {
    build.onLoad({ filter: /prom-client\/lib\/pushgateway\.js$/ }, () => ({
      contents: "module.exports = class Pushgateway {};",
    }));
  },
};
const bundleOptions = {
  bundle: true,
  platform: "node",
  target: "node24",
  format: "cjs",
  logLevel: "warning",
} as const;
await build({
  ...bundleOptions,
  entryPoints: [join(root, "src/main.ts")],
  outfile: bundle,
  external: ["unix-dgram"],
  // Without comments the bundle is ASCII; names stay for stack traces.
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: "none",
  plugins: [withoutPushGateway],
});
await build({
  ...bundleOptions,
  entryPoints: [join(root, "scripts/executable/run_bundle.ts")],
  outfile: mainScript,
});
execFileSync(process.execPath, [
  "--import",
  "tsx",
  join(root, "scripts/executable/create_code_cache.ts"),
  bundle,
  codeCache,
]);
writeFileSync(
  seaConfiguration,
  JSON.stringify({
    main: mainScript,
    output: blob,
    disableExperimentalSEAWarning: true,
    assets: { bundle, code_cache: codeCache },
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", seaConfiguration]);
// Processes may be starting from the last build's executable meanwhile.
const injected = `${executable}.${process.pid}`;
copyFileSync(process.execPath, injected);
await inject(injected, "NODE_SEA_BLOB", readFileSync(blob), {
  sentinelFuse: SEA_SENTINEL_FUSE,
});
chmodSync(injected, 0o755);
renameSync(injected, executable);
console.log(`${executable} is ready`);
