import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';
import * as logLines from '../log-lines.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import * as requestTrace from '../request-trace.js';

export class TraceCommand extends operatorCommand.OperatorCommand {
  static override paths = [['trace']];
  static override usage = clipanion.Command.Usage({
    description: 'Show what daemons decided on one request, from their logs.',
    details: `
      Joins the lines of all files that name the request, in order of time,
      after the last changes of what the deciding daemons believed. Times are
      those of each host's clock.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Trace a request', '$0 trace 9c41d07be2a35f68 host-a.log host-b.log'],
    ],
  });

  requestId = clipanion.Option.String({name: 'ID'});
  files = clipanion.Option.Rest({name: 'FILE', required: 1});

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const builder = new requestTrace.RequestTraceBuilder(this.requestId);
    for (const file of this.files) {
      for await (const line of logLines.readLogLines(file)) builder.add(line);
    }
    const trace = builder.build();
    if (trace.decisions.length === 0) {
      throw errors.commandError(
        exitCodes.ExitCode.refused,
        `No log line contains the id ${this.requestId}. Successful requests are not logged individually; for other requests add the logs of the host on which the client ran, and search them for "omitted" and "log-lines-dropped".`,
      );
    }
    this.print({ok: true, ...trace}, formatTrace(trace));
    return exitCodes.ExitCode.ok;
  }
}

function formatTrace(trace: requestTrace.RequestTrace): string {
  const rows = [...trace.state, ...trace.decisions].map(line => [
    new Date(line.timeMs).toISOString(),
    line.host,
    line.event,
    describeFields(line.fields),
  ]);
  return output.formatTable([['time', 'host', 'event', 'details'], ...rows]);
}

function describeFields(fields: logLines.LogLine['fields']): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== null)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
