import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as daemonClient from '../daemon-client.js';
import * as exitCodes from '../exit-code.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import type * as zoneReport from '../zone-report.js';

/** A healthy daemon responds within milliseconds. */
const TIMEOUT_MS = 3_000;

export class ZonesCommand extends operatorCommand.OperatorCommand {
  static override paths = [['zones']];
  static override usage = clipanion.Command.Usage({
    description: 'Show the availability zones that a daemon knows.',
    details: `
      Asks the metrics address of a daemon on the users' platform. Shows for
      each zone whether it is in service or evacuated, the era, revision and
      source of its evacuation, and how many of its backend servers are listed,
      get requests, or are cold.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [['Show the zones', '$0 zones 10.0.0.5:7001']],
  });

  address = clipanion.Option.String({name: 'HOST:PORT'});

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const address = daemonClient.validateAddress(this.address);
    const result = await daemonClient.fetchZones(address, TIMEOUT_MS);
    if (!result.ok) {
      throw errors.commandError(
        exitCodes.ExitCode.unreachable,
        `${address}: ${result.message}. Check that it is the metrics port of a daemon on the users' platform.`,
      );
    }
    const {report} = result;
    this.print({ok: true, address, ...report}, formatReport(report));
    return exitCodes.ExitCode.ok;
  }
}

function formatReport({era, zones}: zoneReport.ZoneReport): string {
  const table = output.formatTable([
    ['zone', 'status', 'era', 'revision', 'source', 'listed', 'usable', 'cold'],
    ...zones.map(zone => [
      zone.zone,
      zone.status,
      zone.era,
      zone.revision,
      zone.source,
      zone.listed,
      zone.usable,
      zone.cold,
    ]),
  ]);
  return `era ${era}\n${table}`;
}
