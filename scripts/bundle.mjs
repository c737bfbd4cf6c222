// Bundles the daemon for the users' platform into one file under target/, so
// that a start loads one module in place of some hundred.
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/camphorwharfd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: false,
  sourcemap: false,
  logLevel: 'warning',
});
