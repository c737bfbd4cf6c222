// Runs every check in order: dependencies, format, types, lint, names, tests.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

const run = (command, ...words) => {
  process.stdout.write(`> ${command} ${words.join(' ')}\n`);
  const {status} = childProcess.spawnSync(command, words, {stdio: 'inherit'});
  if (status !== 0) process.exit(status ?? 1);
};

if (!fs.existsSync('node_modules/.package-lock.json')) run('npm', 'ci');
run('npx', 'prettier', '--check', '.');
run('npx', 'tsc', '--build');
run('npx', 'eslint', '.');
run('node', 'platform/check-names.mjs');
run('npx', 'ava', '--config', 'ava.soak.config.js');
const tests = childProcess.spawnSync('npx', ['ava', ...process.argv.slice(2)], {
  stdio: 'inherit',
});
process.exit(tests.status ?? 1);
