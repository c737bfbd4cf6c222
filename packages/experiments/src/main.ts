import * as fs from 'node:fs';
import * as util from 'node:util';
import * as experiments from './index.js';

const USAGE =
  'Usage: main.js NAME|all [--seed N] [--deployment NAME] [--json] ' +
  '[--svg FILE]\n       main.js --list\n';

/** Returns the exit code: 0, 1 when a bound is missed, 2 for wrong usage. */
function main(args: string[]): number {
  const {values, positionals} = util.parseArgs({
    args,
    allowPositionals: true,
    options: {
      seed: {type: 'string', default: '1'},
      deployment: {type: 'string', default: 'teranga'},
      json: {type: 'boolean', default: false},
      svg: {type: 'string'},
      list: {type: 'boolean', default: false},
    },
  });
  if (values.list) {
    for (const {name, summary} of experiments.EXPERIMENTS) {
      process.stdout.write(`${name}: ${summary}\n`);
    }
    return 0;
  }
  const seed = Number(values.seed);
  if (positionals.length !== 1 || !Number.isSafeInteger(seed)) {
    process.stderr.write(USAGE);
    return 2;
  }
  const names =
    positionals[0] === 'all'
      ? experiments.EXPERIMENTS.map(experiment => experiment.name)
      : positionals;
  if (values.svg !== undefined && names.length > 1) {
    process.stderr.write('The option --svg needs a single experiment.\n');
    return 2;
  }
  let passed = true;
  for (const name of names) {
    const report = experiments.runExperiment(name, {
      seed,
      deployment: values.deployment,
    });
    passed &&= report.passed;
    process.stdout.write(
      values.json
        ? `${JSON.stringify(report)}\n`
        : `${experiments.renderTable(report)}\n`,
    );
    if (values.svg !== undefined) {
      fs.writeFileSync(values.svg, experiments.renderSvg(report));
    }
  }
  return passed ? 0 : 1;
}

try {
  process.exitCode = main(process.argv.slice(2));
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n${USAGE}`);
  process.exitCode = 2;
}
