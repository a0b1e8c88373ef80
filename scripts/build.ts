/**
 * Builds dist/sesamequay, or the same in the folder given as an argument: one
 * executable that needs no node_modules. The program is bundled by esbuild and put into a copy of Node as a single
 * executable application.
 */
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";
import { inject } from "postject";

const root = join(import.meta.dirname, "..");
const FIRST_ARGUMENT = 2;
const dist = join(root, process.argv[FIRST_ARGUMENT] ?? "dist");
const bundle = join(dist, "sesamequay.cjs");
const blob = join(dist, "sesamequay.blob");
const executable = join(dist, "sesamequay");
const configuration = join(dist, "sea.json");

/** The fuse that postject flips, as Node's documentation gives it. */
const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync(dist, { recursive: true });
await build({
  entryPoints: [join(root, "src/main.ts")],
  outfile: bundle,
  bundle: true,
  platform: "node",
  target: "node24",
  format: "cjs",
  external: ["unix-dgram"],
  logLevel: "warning",
});
writeFileSync(
  configuration,
  JSON.stringify({
    main: bundle,
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", configuration]);
rmSync(executable, { force: true });
copyFileSync(process.execPath, executable);
await inject(executable, "NODE_SEA_BLOB", readFileSync(blob), {
  sentinelFuse: FUSE,
});
chmodSync(executable, 0o755);
console.log(`${executable} is ready`);
