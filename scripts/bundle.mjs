// Bundles the daemon for the platform into one file under target/, so that it
// loads one module instead of about a hundred at startup.
import * as path from 'node:path';
import * as esbuild from 'esbuild';

// Replaces undici by the modules that the daemon uses.
const undiciSubset = {
  name: 'undici-subset',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: path.resolve('scripts/undici-client.cjs'),
    }));
  },
};

// Omits the push gateway of prom-client, which is unused and loads two HTTP
// libraries.
const prometheusSubset = {
  name: 'prometheus-subset',
  setup(build) {
    build.onLoad({filter: /prom-client\/lib\/pushgateway\.js$/}, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

// Resolves workspace packages to their sources, so that the build writes nothing
// outside target/.
const workspaceSources = {
  name: 'workspace-sources',
  setup(build) {
    build.onResolve({filter: /^@camphorwharf\//}, ({path: name}) => ({
      path: path.resolve('packages', name.split('/')[1], 'src/index.ts'),
    }));
  },
};

await esbuild.build({
  entryPoints: ['platform/src/main.ts'],
  // Tests pass an output file of their own.
  outfile: process.argv[2] ?? 'target/camphorwharfd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [undiciSubset, prometheusSubset, workspaceSources],
  // Reduces parsing at startup; identifiers are kept for stack traces.
  minifyWhitespace: true,
  logLevel: 'warning',
});
