// Installs dependencies if they are missing, then checks format, types, lint and
// names, and runs the soak test, the tests of untrusted clients and all others.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const run = (command, ...args) => {
  process.stdout.write(`> ${command} ${args.join(' ')}\n`);
  const {status} = childProcess.spawnSync(command, args, {stdio: 'inherit'});
  if (status !== 0) process.exit(status ?? 1);
};

if (!fs.existsSync('node_modules/.package-lock.json')) run('npm', 'ci');
run('npx', 'prettier', '--check', '.');
run('npx', 'tsc', '--build');
run('npx', 'eslint', '.');
run('node', 'platform/check-names.mjs');
run('npx', 'ava', '--config', 'ava.soak.config.js');
run('npx', 'ava', '--config', 'ava.untrusted-clients.config.js');
const testRun = childProcess.spawnSync(
  'npx',
  ['ava', ...process.argv.slice(2)],
  {
    stdio: 'inherit',
  },
);
process.exit(testRun.status ?? 1);
