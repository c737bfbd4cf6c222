import * as fs from 'node:fs';
import * as experiments from '@camphorwharf/experiments';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';

export class ExperimentCommand extends operatorCommand.OperatorCommand {
  static override paths = [['experiment']];
  static override usage = clipanion.Command.Usage({
    description: 'Measure decisions under load and faults in virtual time.',
    details: `
      Runs the product's deciding code against small fakes, beside two
      baselines: no control, and plain limits and retries per hop. A missed
      bound gives exit code 1. Names: ${experiments.EXPERIMENTS.map(
        ({name}) => name,
      ).join(', ')}; all.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Measure a surge to ten times', '$0 experiment surge-10 --seed 1'],
      ['Draw a plot', '$0 experiment slow-service --svg slow-service.svg'],
    ],
  });

  name = clipanion.Option.String({name: 'NAME'});
  seed = clipanion.Option.String('--seed', '1', {
    description: 'Seed of arrivals and service times; a whole number.',
  });
  deployment = clipanion.Option.String('--deployment', 'teranga', {
    description: `One of ${Object.keys(experiments.DEPLOYMENTS).join(', ')}.`,
  });
  svg = clipanion.Option.String('--svg', {
    description: 'File for the plot of a single experiment.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const knownNames = experiments.EXPERIMENTS.map(({name}) => name as string);
    const names = this.name === 'all' ? knownNames : [this.name];
    if (!knownNames.includes(names[0])) {
      throw usageError(
        `unknown experiment "${this.name}"; use one of ${knownNames.join(', ')}, all`,
      );
    }
    if (!(this.deployment in experiments.DEPLOYMENTS)) {
      throw usageError(
        `unknown deployment "${this.deployment}"; see "experiment --help"`,
      );
    }
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed) || seed < 0) {
      throw usageError(`--seed ${this.seed}: use a whole number from 0`);
    }
    if (this.svg !== undefined && names.length > 1) {
      throw usageError('--svg needs the name of a single experiment');
    }
    const passed = names.map(name => this.runAndPrint(name, seed));
    return passed.every(Boolean)
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.refused;
  }

  private runAndPrint(name: string, seed: number): boolean {
    this.context.stderr.write(`running ${name}\n`);
    const report = experiments.runExperiment(name, {
      seed,
      deployment: this.deployment,
    });
    this.print(report, `${experiments.renderTable(report)}\n`);
    if (this.svg !== undefined) {
      fs.writeFileSync(this.svg, experiments.renderSvg(report));
    }
    return report.passed;
  }
}

function usageError(message: string): errors.CommandError {
  return errors.commandError(exitCodes.ExitCode.usage, message);
}
