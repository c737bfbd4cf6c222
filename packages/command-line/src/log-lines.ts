import * as fs from 'node:fs';
import * as path from 'node:path';
import * as readline from 'node:readline';

import * as errors from './command-error.js';
import * as exitCodes from './exit-code.js';
import * as sourceFiles from './source-file.js';

/** A parsed log line of a daemon. */
export interface LogLine {
  /** Wall-clock time of the daemon in milliseconds since the Unix epoch. */
  readonly timeMs: number;
  /** The host in the prefix of a log collector, or the name of the file. */
  readonly host: string;
  readonly event: string;
  /** Null when the line does not concern a single request. */
  readonly requestId: string | null;
  /** The remaining fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads the log lines of a file and skips all other lines.
 *
 * @throws CommandError when the file cannot be read.
 */
export async function* readLogLines(file: string): AsyncGenerator<LogLine> {
  const input = fs.createReadStream(file, 'utf8');
  const lines = readline.createInterface({input, crlfDelay: Infinity});
  const defaultHost = path.basename(file).replace(/\.[^.]*$/, '');
  try {
    for await (const text of lines) {
      const line = parseLogLine(text, defaultHost);
      if (line) yield line;
    }
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: cannot be read (${sourceFiles.systemErrorCode(error)}). Name an existing, readable file.`,
    );
  }
}

/**
 * Parses a log line; returns null when the text is not a log line of a daemon.
 * A log collector may add a prefix, whose last word is the host.
 */
export function parseLogLine(
  text: string,
  defaultHost: string,
): LogLine | null {
  const start = text.indexOf('{');
  if (start < 0) return null;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return null; // Not a daemon's log line, or a truncated one.
  }
  if (typeof value !== 'object' || value === null) return null;
  const {event, requestId, _meta: meta, ...fields} = value as LogRecord;
  const timeMs = Date.parse(meta?.date ?? '');
  if (typeof event !== 'string' || Number.isNaN(timeMs)) return null;
  return {
    timeMs,
    host: text.slice(0, start).trim().split(/\s+/).at(-1) || defaultHost,
    event,
    requestId: typeof requestId === 'string' ? requestId : null,
    fields,
  };
}

interface LogRecord {
  readonly event?: unknown;
  readonly requestId?: unknown;
  readonly _meta?: {readonly date?: string};
}
