import * as fs from 'node:fs';
import * as runtime from '@camphorwharf/runtime';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as observations from '../demo/observations.js';
import * as report from '../demo/report.js';
import * as runDemo from '../demo/run-demo.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';

/** Above this rate, the machine and not the deployment limits the result. */
const MAXIMUM_RATE = 5_000;

export class DemoCommand extends operatorCommand.OperatorCommand {
  static override paths = [['demo']];
  static override usage = clipanion.Command.Usage({
    description: 'Run a whole deployment on loopback through its faults.',
    details: `
      Starts daemons, backend server stand-ins and a platform stand-in as
      processes, sends load, slows a service down, exceeds a rate, revokes a
      key, drains a host and kills a daemon. Prints what happened and writes
      a plot. A failed check gives exit code 1.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Run the deployment of Teranga', '$0 demo'],
      ['Run the deployment of Sahab', '$0 demo --deployment sahab --seed 7'],
    ],
  });

  deployment = clipanion.Option.String('--deployment', 'teranga', {
    description: 'teranga or sahab.',
  });
  seed = clipanion.Option.String('--seed', '1', {
    description: 'Seed of the load; a whole number.',
  });
  rate = clipanion.Option.String('--rate', {
    description: 'Normal arrivals per second, for slower or busy machines.',
  });
  svg = clipanion.Option.String('--svg', {
    description: 'File for the plot of outcomes over time.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const seed = Number(this.seed);
    if (!Number.isSafeInteger(seed) || seed < 0) {
      throw errors.commandError(
        exitCodes.ExitCode.usage,
        `--seed ${this.seed}: use a whole number from 0`,
      );
    }
    const rate = Number(this.rate ?? 1);
    if (!(rate > 0 && rate <= MAXIMUM_RATE)) {
      throw errors.commandError(
        exitCodes.ExitCode.usage,
        `--rate ${this.rate}: use a number above 0 and up to ${MAXIMUM_RATE}`,
      );
    }
    const result = await this.runDeployment(seed, rate);
    if (this.svg !== undefined) {
      fs.writeFileSync(this.svg, observations.renderPlot(result.observations));
    }
    this.print(result, report.renderReport(result));
    return result.checks.every(check => check.passed)
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.refused;
  }

  private async runDeployment(
    seed: number,
    rate: number,
  ): Promise<report.DemoReport> {
    try {
      return await runDemo.runDemo({
        deployment: this.deployment,
        seed,
        requestsPerSecond: this.rate === undefined ? undefined : rate,
        progress: message => this.context.stderr.write(`${message}\n`),
      });
    } catch (error) {
      if (!(error instanceof runtime.ConfigurationError)) throw error;
      throw errors.commandError(exitCodes.ExitCode.refused, error.message);
    }
  }
}
