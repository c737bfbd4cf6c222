import * as fs from 'node:fs';

import * as errors from '../command-error.js';
import * as exitCodes from '../exit-code.js';
import * as sourceFiles from '../source-file.js';
import type * as logFigures from './log-figures.js';
import * as ratePlot from './rate-plot.js';

/** Maximum number of points of a plot. */
const MAXIMUM_POINTS = 10_000;

/**
 * Bounds the points that a sampling keeps.
 *
 * @throws CommandError with the usage exit code.
 */
export function checkPoints(seconds: number, interval: number): void {
  if (seconds / interval <= MAXIMUM_POINTS) return;
  throw errors.commandError(
    exitCodes.ExitCode.usage,
    `--seconds ${seconds} at --interval ${interval} gives more than ${MAXIMUM_POINTS} points to plot; use an --interval of at least ${seconds / MAXIMUM_POINTS}`,
  );
}

/** Finds out before a long sampling that a file cannot be written. */
export function checkWritable(file: string): void {
  try {
    // Opening for appending keeps an earlier plot.
    const isNew = !fs.existsSync(file);
    fs.closeSync(fs.openSync(file, 'a'));
    if (isNew) fs.unlinkSync(file);
  } catch (error) {
    throw unwritable(file, error);
  }
}

function unwritable(file: string, error: unknown): errors.CommandError {
  return errors.commandError(
    exitCodes.ExitCode.refused,
    `${file}: cannot be written (${sourceFiles.systemErrorCode(error)}). Name a file in an existing, writable directory.`,
  );
}

/** Returns why the plot, if any, could not be written. */
export function tryPlot(
  file: string | undefined,
  points: () => readonly ratePlot.PlotPoint[],
): errors.CommandError | null {
  if (file === undefined) return null;
  try {
    writePlot(file, points());
    return null;
  } catch (error) {
    if (error instanceof errors.CommandError) return error;
    throw error;
  }
}

function writePlot(file: string, points: readonly ratePlot.PlotPoint[]): void {
  if (points.length < 2) {
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      'There are fewer than two points to plot. Use more --seconds, a shorter --interval, or longer logs.',
    );
  }
  try {
    fs.writeFileSync(file, ratePlot.renderPlot(points));
  } catch (error) {
    throw unwritable(file, error);
  }
}

/** Returns the rates in each interval of the logs. */
export function logPoints(logs: logFigures.LogFigures): ratePlot.PlotPoint[] {
  const seconds = logs.intervalMs / 1_000;
  const counts = logs.byInterval(MAXIMUM_POINTS);
  if (counts === null) {
    throw errors.commandError(
      exitCodes.ExitCode.usage,
      `the logs have more than ${MAXIMUM_POINTS} intervals; use a longer --interval`,
    );
  }
  return counts.map((count, index) => ({
    atSeconds: index * seconds,
    perSecond: ratePlot.plotRates(count, seconds),
  }));
}
