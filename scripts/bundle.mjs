// Bundles the daemon for the users' platform into one file under target/, so
// that a start loads one module in place of some hundred.
import * as path from 'node:path';
import * as esbuild from 'esbuild';

const undiciParts = {
  name: 'undici-parts',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: path.resolve('scripts/undici-client.cjs'),
    }));
  },
};

// The push gateway of prom-client is not used and loads two HTTP libraries.
const prometheusParts = {
  name: 'prometheus-parts',
  setup(build) {
    build.onLoad({filter: /prom-client\/lib\/pushgateway\.js$/}, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

// Takes the packages of the workspace from their sources, so that a build
// leaves nothing outside target/.
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
  // A test builds into a folder of its own.
  outfile: process.argv[2] ?? 'target/camphorwharfd.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  plugins: [undiciParts, prometheusParts, workspaceSources],
  // A start parses less; names stay as they are, for stack traces.
  minifyWhitespace: true,
  logLevel: 'warning',
});
