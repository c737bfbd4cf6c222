import * as searches from './searches.js';

interface Options {
  seed: number;
  depth: number;
  walks: number;
  json: boolean;
}

const USAGE =
  'usage: node packages/model-check/lib/main.js ' +
  '[--seed N] [--depth N] [--walks N] [--json]\n';

function parseOptions(args: readonly string[]): Options | null {
  const parsed: Options = {seed: 1, depth: 12, walks: 30, json: false};
  for (let index = 0; index < args.length; index++) {
    const arg = args[index];
    if (arg === '--json') {
      parsed.json = true;
      continue;
    }
    const value = Number(args[++index]);
    if (!Number.isInteger(value) || value < 0) return null;
    if (arg === '--seed') parsed.seed = value;
    else if (arg === '--depth') parsed.depth = value;
    else if (arg === '--walks') parsed.walks = value;
    else return null;
  }
  return parsed;
}

function measureSeconds(run: () => void): number {
  const start = process.hrtime.bigint();
  run();
  return Number(process.hrtime.bigint() - start) / 1e9;
}

/** Prints the results; returns whether no invariant was violated. */
function run({seed, depth, walks, json}: Options): boolean {
  const report = [];
  for (const search of searches.exhaustiveSearches(depth)) {
    let result: ReturnType<typeof searches.runSearch> | undefined;
    const elapsed = measureSeconds(() => (result = searches.runSearch(search)));
    const {kinds, ...limits} = search.options;
    const bounds = {...limits, ...(kinds ? {kinds: [...kinds]} : {})};
    report.push({search: search.name, ...bounds, ...result, elapsed});
  }
  let walked: ReturnType<typeof searches.runWalks> | undefined;
  const elapsed = measureSeconds(
    () => (walked = searches.runWalks(seed, walks)),
  );
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

const parsed = parseOptions(process.argv.slice(2));
if (!parsed) {
  process.stderr.write(USAGE);
  process.exitCode = 2;
} else if (!run(parsed)) {
  process.exitCode = 1;
}
