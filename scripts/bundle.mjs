/**
 * Bundles the daemon of the users' platform into a few files, one for what both
 * roles need and one for each role: a start then reads and compiles what it
 * uses, in place of some hundred modules.
 */
import { build } from "esbuild";

const target = process.argv[2] ?? "target";

await build({
  entryPoints: { apricotdeckd: "platform/main.ts" },
  outdir: target,
  outExtension: { ".js": ".mjs" },
  splitting: true,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  // jsonc-parser and others ship a UMD build as "main" that can not be bundled.
  mainFields: ["module", "main"],
  // Not minified: the trace of a crash is all that is left to explain it.
  keepNames: true,
  // bunyan asks for these and goes on without them.
  external: ["dtrace-provider", "mv", "source-map-support", "moment"],
  // CommonJS packages inside the bundle ask for `require`.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
