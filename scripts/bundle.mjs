/**
 * Bundles the daemon of the users' platform into a shared chunk and one chunk
 * per role. A process then loads and compiles only what its role uses instead
 * of about a hundred modules.
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
  // The "main" entry of jsonc-parser and others is a UMD build, which esbuild
  // can't bundle.
  mainFields: ["module", "main"],
  // Names and lines stay readable in the stack traces of crashes; white space
  // would be kept in memory by every process.
  keepNames: true,
  minifyWhitespace: true,
  lineLimit: 120,
  // Optional dependencies of bunyan, which works without them.
  external: ["dtrace-provider", "mv", "source-map-support", "moment"],
  // Bundled CommonJS packages call `require`.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
