import * as fs from 'node:fs';
import * as path from 'node:path';
import * as readline from 'node:readline';

import * as errors from './command-error.js';
import * as exitCodes from './exit-code.js';
import * as sourceFiles from './source-file.js';

/** One line that a daemon has logged. */
export interface LogLine {
  /** Wall-clock time of the daemon, in milliseconds since the Unix epoch. */
  readonly timeMs: number;
  /** The host that a collector put before the line, or the file's name. */
  readonly host: string;
  readonly event: string;
  /** Null where the line is not about one request. */
  readonly requestId: string | null;
  /** All further fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads the log lines of a file; other lines are skipped.
 *
 * @throws CommandError when the file cannot be read.
 */
export async function* readLogLines(file: string): AsyncGenerator<LogLine> {
  const input = fs.createReadStream(file, 'utf8');
  const lines = readline.createInterface({input, crlfDelay: Infinity});
  const fileHost = path.basename(file).replace(/\.[^.]*$/, '');
  try {
    for await (const text of lines) {
      const line = parseLogLine(text, fileHost);
      if (line) yield line;
    }
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.refused,
      `${file}: cannot be read (${sourceFiles.errorCode(error)}). Name an existing file that you may read.`,
    );
  }
}

/**
 * Returns null when the text is no log line of a daemon. A collector may put
 * words before the line, of which the last one names the host.
 */
export function parseLogLine(text: string, fileHost: string): LogLine | null {
  const start = text.indexOf('{');
  if (start < 0) return null;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return null; // Not written by a daemon, or cut.
  }
  if (typeof value !== 'object' || value === null) return null;
  const {event, requestId, _meta: meta, ...fields} = value as LoggedObject;
  const timeMs = Date.parse(meta?.date ?? '');
  if (typeof event !== 'string' || Number.isNaN(timeMs)) return null;
  return {
    timeMs,
    host: text.slice(0, start).trim().split(/\s+/).at(-1) || fileHost,
    event,
    requestId: typeof requestId === 'string' ? requestId : null,
    fields,
  };
}

interface LoggedObject {
  readonly event?: unknown;
  readonly requestId?: unknown;
  readonly _meta?: {readonly date?: string};
}
