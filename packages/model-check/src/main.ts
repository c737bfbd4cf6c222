import * as check from './check.js';

interface Arguments {
  seed: number;
  depth: number;
  walks: number;
  json: boolean;
}

const USAGE =
  'usage: node packages/model-check/lib/main.js ' +
  '[--seed N] [--depth N] [--walks N] [--json]\n';

function parse(words: readonly string[]): Arguments | null {
  const parsed: Arguments = {seed: 1, depth: 11, walks: 30, json: false};
  for (let index = 0; index < words.length; index++) {
    const word = words[index];
    if (word === '--json') {
      parsed.json = true;
      continue;
    }
    const value = Number(words[++index]);
    if (!Number.isInteger(value) || value < 0) return null;
    if (word === '--seed') parsed.seed = value;
    else if (word === '--depth') parsed.depth = value;
    else if (word === '--walks') parsed.walks = value;
    else return null;
  }
  return parsed;
}

function seconds(run: () => void): number {
  const start = process.hrtime.bigint();
  run();
  return Number(process.hrtime.bigint() - start) / 1e9;
}

/** Prints the results; returns whether no invariant was violated. */
function run({seed, depth, walks, json}: Arguments): boolean {
  const report = [];
  for (const search of check.searches(depth)) {
    let result: ReturnType<typeof check.runSearch> | undefined;
    const elapsed = seconds(() => (result = check.runSearch(search)));
    const {kinds, ...limits} = search.options;
    const bounds = {...limits, ...(kinds ? {kinds: [...kinds]} : {})};
    report.push({search: search.name, ...bounds, ...result, elapsed});
  }
  let walked: ReturnType<typeof check.runWalks> | undefined;
  const elapsed = seconds(() => (walked = check.runWalks(seed, walks)));
  report.push({search: 'random walks', seed, ...walked, elapsed});
  for (const entry of report) {
    const {trace, ...summary} = entry;
    const shown = summary.violation ? {...summary, trace} : summary;
    if (json) continue;
    process.stdout.write(
      Object.entries(shown)
        .map(([name, value]) => `${name}: ${String(value)}`)
        .join(', ') + '\n',
    );
  }
  if (json) process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
  return report.every(entry => !entry.violation);
}

const parsed = parse(process.argv.slice(2));
if (!parsed) {
  process.stderr.write(USAGE);
  process.exitCode = 2;
} else if (!run(parsed)) {
  process.exitCode = 1;
}
