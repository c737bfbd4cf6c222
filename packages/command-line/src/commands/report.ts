import * as runtime from '@camphorwharf/runtime';
import * as clipanion from 'clipanion';

import * as errors from '../command-error.js';
import * as daemonClient from '../daemon-client.js';
import * as exitCodes from '../exit-code.js';
import * as numberOption from '../measure/number-option.js';
import * as operatorCommand from '../operator-command.js';
import * as output from '../output.js';
import * as daemonSampler from '../overload/daemon-sampler.js';
import * as overloadReport from '../overload/overload-report.js';
import * as plotFile from '../overload/plot-file.js';
import * as reportInput from '../overload/report-input.js';
import * as reportTable from '../overload/report-table.js';
import * as snapshots from '../overload/snapshot.js';

/** A healthy daemon responds within milliseconds. */
const TIMEOUT_MS = 3_000;

export class ReportCommand extends operatorCommand.OperatorCommand {
  static override paths = [['report']];
  static override usage = clipanion.Command.Usage({
    description: 'Show who is served under overload.',
    details: `
      Reads the metrics of daemons on the users' platform, saved metrics, or
      logs. Shows by route and by organisation how requests ended, and by
      service the slot time that was used and wasted. Figures of all sources
      are added up. Metrics count from the start of each daemon, or with
      --seconds from the first sample. Logs have no lines on answered requests;
      their figures are shown separately.

      ${exitCodes.EXIT_CODE_HELP}
    `,
    examples: [
      ['Show two daemons', '$0 report 10.0.0.5:7001 10.0.0.6:7001'],
      [
        'Plot the next minute',
        '$0 report 10.0.0.5:7001 --seconds 60 --plot minute.svg',
      ],
      ['Read saved metrics', '$0 report host-a.metrics host-b.metrics'],
      ['Read logs', 'cat *.log | $0 report -'],
    ],
  });

  sources = clipanion.Option.Rest({name: 'HOST:PORT|FILE|-', required: 1});
  seconds = clipanion.Option.String('--seconds', '0', {
    description: 'Time for which daemons are sampled; 0 reads them once.',
  });
  interval = clipanion.Option.String('--interval', '1', {
    description: 'Time between samples, and of a point of the plot of logs.',
  });
  plot = clipanion.Option.String('--plot', {
    description: 'File for a plot over time (SVG).',
  });

  protected override async perform(): Promise<exitCodes.ExitCodeValue> {
    const range = {minimum: 0, maximum: 86_400};
    const seconds = numberOption.parseNumber('--seconds', this.seconds, range);
    const interval = numberOption.parseNumber('--interval', this.interval, {
      ...range,
      minimum: 0.1,
    });
    const {addresses, files} = reportInput.parseSources(this.sources);
    if (seconds > 0 && addresses.length === 0) {
      throw usageError('--seconds needs the address of a daemon');
    }
    if (seconds > 0 && files.length > 0) {
      throw usageError('--seconds cannot be combined with files');
    }
    if (this.plot !== undefined && seconds === 0 && files.length === 0) {
      throw usageError('--plot needs --seconds, or logs');
    }
    if (this.plot !== undefined) {
      plotFile.checkPoints(seconds, interval);
      plotFile.checkWritable(this.plot);
    }
    const fileFigures = await reportInput.readFiles(
      files,
      this.context.stdin as NodeJS.ReadStream,
      interval * 1_000,
    );
    const sampler = await this.sampleDaemons(addresses, seconds, interval);
    const {logs} = fileFigures;
    const metrics = new snapshots.SnapshotSum();
    metrics.addAll(sampler.snapshot);
    metrics.addAll(fileFigures.metrics);
    const {silentDaemons} = sampler;
    if (metrics.snapshot.size === 0 && files.length === 0) {
      throw errors.commandError(
        exitCodes.ExitCode.unreachable,
        silentDaemons.map(describeSilence).join('\n'),
      );
    }
    // The report is printed even if the plot fails.
    const plotProblem = plotFile.tryPlot(this.plot, () =>
      seconds > 0 ? sampler.points : plotFile.logPoints(logs),
    );
    const report =
      metrics.snapshot.size === 0
        ? null
        : overloadReport.buildReport(metrics.snapshot);
    const logReport =
      logs.allLines === 0
        ? null
        : {
            lines: logs.lines,
            missingLines: logs.missingLines,
            ...overloadReport.withoutAnswers(
              overloadReport.buildReport(logs.snapshot),
            ),
          };
    const sampledSeconds = sampler.sampledSeconds;
    const daemons = addresses.length;
    this.print(
      {
        ok: silentDaemons.length === 0 && !plotProblem,
        plotProblem: plotProblem?.message ?? null,
        daemons,
        silentDaemons,
        sampledSeconds,
        ...report,
        logs: logReport,
      },
      formatSections(sampledSeconds, report, logReport),
    );
    for (const daemon of silentDaemons) {
      this.context.stderr.write(
        `${output.replaceControlCharacters(describeSilence(daemon))}\n`,
      );
    }
    if (plotProblem) {
      this.context.stderr.write(
        `${output.replaceControlCharacters(plotProblem.message)}\n`,
      );
      return plotProblem.exitCode;
    }
    return silentDaemons.length === 0
      ? exitCodes.ExitCode.ok
      : exitCodes.ExitCode.unreachable;
  }

  /** Samples once, or at the interval for `seconds`. */
  private async sampleDaemons(
    addresses: readonly string[],
    seconds: number,
    interval: number,
  ): Promise<daemonSampler.DaemonSampler> {
    const clock = new runtime.SystemClock();
    const sampler = new daemonSampler.DaemonSampler(
      addresses,
      clock,
      address => daemonClient.fetchMetrics(address, TIMEOUT_MS),
      seconds > 0,
      this.plot !== undefined,
    );
    const startMs = clock.monotonicMs();
    const endMs = startMs + seconds * 1_000;
    const pending = new Set<Promise<void>>();
    const sample = () => {
      const promise = sampler.sample().finally(() => pending.delete(promise));
      pending.add(promise);
    };
    sample();
    let dueMs = startMs;
    while (dueMs < endMs) {
      // Samples that are overdue are left out.
      const nowMs = clock.monotonicMs();
      const elapsedMs = Math.max(nowMs, dueMs) - startMs;
      const passed = Math.floor(elapsedMs / (interval * 1_000) + 1e-6);
      dueMs = Math.min(endMs, startMs + (passed + 1) * interval * 1_000);
      await clock.delay(Math.max(0, dueMs - nowMs));
      sample();
    }
    await Promise.all(pending);
    return sampler;
  }
}

interface LogReport extends overloadReport.OverloadReport {
  readonly lines: number;
  readonly missingLines: number;
}

function formatSections(
  sampledSeconds: number | null,
  report: overloadReport.OverloadReport | null,
  logs: LogReport | null,
): string {
  const sections: string[] = [];
  if (report) {
    const since =
      sampledSeconds === null
        ? 'Since the start of each daemon'
        : `In ${sampledSeconds.toFixed(1)} s`;
    sections.push(`${since}\n`, reportTable.formatReport(report));
  }
  if (logs?.lines === 0) {
    sections.push(
      `The logs have no lines about requests; the daemons left out ${logs.missingLines}. Only requests that were refused, failed or abandoned are logged.\n`,
    );
  } else if (logs) {
    sections.push(
      `From ${logs.lines} log lines; the daemons left out ${logs.missingLines} more. Answered requests are not logged.\n`,
      reportTable.formatReport(logs),
    );
  }
  return sections.join('\n');
}

function describeSilence(daemon: daemonSampler.SilentDaemon): string {
  const {address, isLeftOut, message, missed} = daemon;
  return isLeftOut
    ? `${address}: ${message}. It is left out; check that it is the metrics address of a running daemon.`
    : `${address}: ${message}. It did not answer ${missed} times.`;
}

function usageError(message: string): errors.CommandError {
  return errors.commandError(exitCodes.ExitCode.usage, message);
}
