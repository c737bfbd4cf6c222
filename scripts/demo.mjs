// Installs dependencies if they are missing, builds, and runs `camphorwharf demo`.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const run = (command, ...args) => {
  const {status} = childProcess.spawnSync(command, args, {stdio: 'inherit'});
  if (status !== 0) process.exit(status ?? 1);
};

if (!fs.existsSync('node_modules/.package-lock.json')) run('npm', 'ci');
run('npx', 'tsc', '--build');
fs.mkdirSync('out', {recursive: true});
run(
  process.execPath,
  'packages/command-line/bin/camphorwharf.js',
  'demo',
  '--svg',
  'out/demo.svg',
  ...process.argv.slice(2),
);
process.stdout.write('The plot is in out/demo.svg.\n');
