import * as runtime from '@camphorwharf/runtime';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as deployments from '../demo/deployments.js';

import * as exitCodes from '../exit-code.js';
import * as documents from '../measure/documents.js';
import * as loadMeasurement from '../measure/load-measurement.js';
import * as numberOption from '../measure/number-option.js';
import * as operatorCommand from '../operator-command.js';

export class LoadCommand extends operatorCommand.OperatorCommand {
  static override paths = [['load']];
  static override usage = clipanion.Command.Usage({
    description: 'Measure the latency and CPU time that daemons add to a call.',
    details: `
      Starts a deployment on loopback and sends open-loop load, at the same
      time directly to a backend server and through an entry daemon and a
      target daemon. Prints the added latency, the CPU time per call and the
      memory of the daemons. A missed bound gives exit code 1. A busy machine
      raises the figures; read them with the load average that is printed.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Measure the deployment of Teranga', '$0 load'],
      [
        'Measure 300 calls/s for 20 s',
        '$0 load --deployment sahab --rate 300 --seconds 20 --seed 7',
      ],
    ],
  });

  deployment = clipanion.Option.String('--deployment', 'teranga', {
    description: 'teranga or sahab.',
  });
  rate = clipanion.Option.String('--rate', '100', {
    description: 'Calls per second on each path.',
  });
  seconds = clipanion.Option.String('--seconds', '10', {
    description: 'Duration of the measurement.',
  });
  warmUpSeconds = clipanion.Option.String('--warm-up-seconds', '5', {
    description: 'Duration of the load before the measurement.',
  });
  seed = clipanion.Option.String('--seed', '1', {
    description: 'Seed of the load; a whole number.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const {parseNumber} = numberOption;
    const options = {
      rate: parseNumber('--rate', this.rate, {minimum: 1, maximum: 2_000}),
      seconds: parseNumber('--seconds', this.seconds, {
        minimum: 1,
        maximum: 600,
      }),
      warmUpSeconds: parseNumber('--warm-up-seconds', this.warmUpSeconds, {
        minimum: 0,
        maximum: 600,
      }),
      seed: parseNumber('--seed', this.seed, numberOption.SEED_RANGE),
    };
    const deployment = deployments.DEPLOYMENTS[this.deployment];
    if (!deployment) {
      throw errors.commandError(
        exitCodes.ExitCode.usage,
        `--deployment ${this.deployment}: use one of ${Object.keys(deployments.DEPLOYMENTS).join(', ')}`,
      );
    }
    const report = await loadMeasurement.measureLoad({
      ...options,
      deployment,
      document: documents.compileExample(deployment.name),
      clock: new runtime.SystemClock(),
      progress: message => this.context.stderr.write(`${message}\n`),
    });
    this.print(report, loadMeasurement.renderLoad(report));
    return report.verdicts.every(({passed}) => passed)
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.refused;
  }
}
