import * as fs from 'node:fs';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';

import * as errors from '../command-error.js';
import * as daemonClient from '../daemon-client.js';
import * as exitCodes from '../exit-code.js';
import * as sourceFiles from '../source-file.js';
import * as logFigures from './log-figures.js';
import * as snapshots from './snapshot.js';

/** Names the standard input in place of a file. */
const STANDARD_INPUT = '-';

/** What the arguments of the command name. */
export interface ReportSources {
  readonly addresses: readonly string[];
  /** `-` for the standard input. */
  readonly files: readonly string[];
}

/**
 * Tells files from addresses of daemons, and removes repetitions.
 *
 * @throws CommandError with the usage exit code.
 */
export function parseSources(sources: readonly string[]): ReportSources {
  const addresses = new Set<string>();
  const files = new Set<string>();
  for (const source of sources) {
    if (source === STANDARD_INPUT || fs.existsSync(source)) files.add(source);
    else if (/:\d+$/.test(source)) {
      addresses.add(daemonClient.validateAddress(source));
    } else {
      throw errors.commandError(
        exitCodes.ExitCode.usage,
        `${source} is neither a file nor HOST:PORT. Name an existing file, "-" for the standard input, or the metrics address of a daemon, for example 10.0.0.5:7001.`,
      );
    }
  }
  return {addresses: [...addresses], files: [...files]};
}

/** Figures of saved metrics and logs. */
export interface FileFigures {
  readonly metrics: snapshots.Snapshot;
  readonly logs: logFigures.LogFigures;
}

/**
 * Reads metrics and log lines.
 *
 * @throws CommandError when a file cannot be read or has none of them.
 */
export async function readFiles(
  files: readonly string[],
  standardInput: stream.Readable,
  intervalMs: number,
): Promise<FileFigures> {
  const metrics = new snapshots.SnapshotSum();
  const logs = new logFigures.LogFigures(intervalMs);
  for (const file of files) {
    const input =
      file === STANDARD_INPUT
        ? standardInput
        : fs.createReadStream(file, 'utf8');
    let isUsable = false;
    try {
      const lines = readline.createInterface({input, crlfDelay: Infinity});
      for await (const line of lines) {
        if (metrics.addLine(line) || logs.addLine(line)) isUsable = true;
      }
    } catch (error) {
      throw errors.commandError(
        exitCodes.ExitCode.refused,
        `${file}: cannot be read (${sourceFiles.systemErrorCode(error)}). Name an existing, readable file.`,
      );
    }
    if (isUsable) continue;
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: has neither counters of requests by route nor log lines of a daemon. Save the metrics of a daemon of this release, or its standard output.`,
    );
  }
  return {metrics: metrics.snapshot, logs};
}
