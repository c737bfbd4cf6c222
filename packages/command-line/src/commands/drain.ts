import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as daemonClient from '../daemon-client.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';

const TIMEOUT_MS = 3_000;
const HTTP_ACCEPTED = 202;

export class DrainCommand extends operatorCommand.OperatorCommand {
  static override paths = [['drain']];
  static override usage = clipanion.Command.Usage({
    description: 'Ask a daemon to leave and stop gracefully.',
    details: `
      The daemon announces that it leaves, takes no new work, transfers what it
      owns, finishes running calls and stops. The command returns as soon as
      the daemon has accepted the request; an answer other than 202 gives exit
      code 1.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [['Drain a daemon', '$0 drain 10.0.0.5:7400']],
  });

  address = clipanion.Option.String({name: 'HOST:PORT'});

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const address = daemonClient.validateAddress(this.address);
    const status = await daemonClient.requestDrain(address, TIMEOUT_MS);
    if (status !== HTTP_ACCEPTED) {
      throw errors.commandError(
        exitCodes.ExitCode.refused,
        `${address}: refused to drain with status ${status}. Check that it is the operator port of a daemon.`,
      );
    }
    this.print({ok: true, address}, `${address}: draining\n`);
    return exitCodes.ExitCode.ok;
  }
}
