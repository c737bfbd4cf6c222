import * as runtime from '@camphorwharf/runtime';
import * as clipanion from 'clipanion';

import * as exitCodes from '../exit-code.js';
import * as costMeasurement from '../measure/cost-measurement.js';
import * as numberOption from '../measure/number-option.js';
import * as operatorCommand from '../operator-command.js';

/** The generated region has a single cell, which holds up to 33 hosts. */
const MAXIMUM_HOSTS = 33;

/** Above this rate, the platform stand-in limits the result. */
const MAXIMUM_CHANGES_PER_SECOND = 50;

export class CostCommand extends operatorCommand.OperatorCommand {
  static override paths = [['cost']];
  static override usage = clipanion.Command.Usage({
    description: 'Measure the control cost of daemons without calls.',
    details: `
      Starts fleets of several sizes on loopback, one after the other, and
      measures CPU, memory and peer traffic of the daemons while there are no
      calls. Prints the slope per peer. A missed bound gives exit code 1. A
      busy machine raises the figures; read them with the load average that
      is printed.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Measure the usual sizes', '$0 cost'],
      [
        'Measure two sizes while the configuration changes',
        '$0 cost --sizes 3,14 --seconds 20 --changes-per-second 2',
      ],
    ],
  });

  sizes = clipanion.Option.String('--sizes', '3,7,14,28', {
    description: 'Numbers of hosts, separated by commas.',
  });
  seconds = clipanion.Option.String('--seconds', '10', {
    description: 'Duration of the measurement of each size.',
  });
  settleSeconds = clipanion.Option.String('--settle-seconds', '5', {
    description: 'Time between readiness and the measurement.',
  });
  changesPerSecond = clipanion.Option.String('--changes-per-second', '0', {
    description: 'Document revisions that are published per second.',
  });
  seed = clipanion.Option.String('--seed', '1', {
    description: 'Seed of the stand-ins; a whole number.',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const {parseNumber} = numberOption;
    const report = await costMeasurement.measureCost({
      sizes: this.sizes.split(',').map(size =>
        parseNumber('--sizes', size, {
          minimum: 2,
          maximum: MAXIMUM_HOSTS,
          integer: true,
        }),
      ),
      seconds: parseNumber('--seconds', this.seconds, {
        minimum: 1,
        maximum: 600,
      }),
      settleSeconds: parseNumber('--settle-seconds', this.settleSeconds, {
        minimum: 0,
        maximum: 600,
      }),
      changesPerSecond: parseNumber(
        '--changes-per-second',
        this.changesPerSecond,
        {minimum: 0, maximum: MAXIMUM_CHANGES_PER_SECOND},
      ),
      seed: parseNumber('--seed', this.seed, numberOption.SEED_RANGE),
      clock: new runtime.SystemClock(),
      progress: message => this.context.stderr.write(`${message}\n`),
    });
    this.print(report, costMeasurement.renderCost(report));
    return report.verdicts.every(({passed}) => passed)
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.refused;
  }
}
