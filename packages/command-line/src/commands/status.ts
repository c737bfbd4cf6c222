import * as clipanion from 'clipanion';

import * as daemonClient from '../daemon-client.js';
import type * as daemonStatus from '../daemon-status.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';

/** A healthy daemon responds within milliseconds. */
const TIMEOUT_MS = 3_000;

/** Number of leading digits of a digest that the table shows. */
const DIGEST_PREFIX_LENGTH = 12;

export class StatusCommand extends operatorCommand.OperatorCommand {
  static override paths = [['status']];
  static override usage = clipanion.Command.Usage({
    description: 'Show the state of daemons and whether they agree.',
    details: `
      Asks the operator endpoint of each daemon. Daemons agree when the same
      revision with the same digest is in force on all that answer. A
      disagreement gives exit code 3 even when other daemons are unreachable.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Compare two daemons', '$0 status 10.0.0.5:7400 10.0.0.6:7400'],
    ],
  });

  addresses = clipanion.Option.Rest({name: 'HOST:PORT', required: 1});

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const addresses = this.addresses.map(daemonClient.validateAddress);
    const results = await Promise.all(
      addresses.map(address => daemonClient.fetchStatus(address, TIMEOUT_MS)),
    );
    const daemons = results.map((result, index) => ({
      address: addresses[index] ?? '',
      ...result,
    }));
    const statuses = results.flatMap(result =>
      result.ok ? [result.status] : [],
    );
    const documentsInForce = new Set(
      statuses.map(({revision, digest}) => `${revision} ${digest}`),
    );
    const agree = documentsInForce.size <= 1;
    const allReachable = statuses.length === results.length;
    this.print(
      {ok: agree && allReachable, agree, daemons},
      formatStatuses(statuses, daemons),
    );
    for (const daemon of daemons) {
      if (daemon.ok) continue;
      this.context.stderr.write(
        `${daemon.address}: ${output.replaceControlCharacters(daemon.message)}. Check the address and that the daemon is running.\n`,
      );
    }
    if (!agree) {
      this.context.stderr.write(
        'The daemons disagree on the document in force. Run the command again after 6 s; if they still disagree, compare their revisions with the published one.\n',
      );
      return exitCodes.ExitCode.disagreement;
    }
    return allReachable
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.unreachable;
  }
}

function formatStatuses(
  statuses: readonly daemonStatus.DaemonStatus[],
  daemons: ReadonlyArray<
    {readonly address: string} & daemonClient.StatusResult
  >,
): string {
  if (statuses.length === 0) return '';
  const rows = daemons.flatMap(daemon =>
    daemon.ok ? [[daemon.address, ...statusRow(daemon.status)]] : [],
  );
  return output.formatTable([
    [
      'address',
      'host',
      'service',
      'revision',
      'digest',
      'cell',
      'view',
      'active',
      'concurrency',
      'queue',
      'threshold',
      'in flight',
      'waiting',
      'leaving',
    ],
    ...rows,
  ]);
}

function statusRow(
  status: daemonStatus.DaemonStatus,
): Array<string | number | boolean | null> {
  const {view, sheddingThreshold, limits} = status;
  return [
    status.hostId,
    status.service,
    status.revision,
    status.digest?.slice(0, DIGEST_PREFIX_LENGTH) ?? null,
    status.cell,
    view && `${view.number}/${view.proposer}`,
    view?.active ?? null,
    limits.concurrency,
    limits.queue,
    sheddingThreshold &&
      `${sheddingThreshold.importance}/${sheddingThreshold.rank?.toFixed(3)}`,
    status.inFlight,
    status.waiting,
    status.leaving,
  ];
}
