import * as tslog from 'tslog';

export const LogLevel = {
  debug: 2,
  info: 3,
  warn: 4,
  error: 5,
} as const;
export type LogLevelName = keyof typeof LogLevel;

/** Fields of one log line; values must be JSON-serializable. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one JSON line per event. `event` is a stable name in kebab case. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Creates a logger that writes JSON lines, by default to standard error. */
export function createLogger(
  name: string,
  minimumLevel: LogLevelName = 'info',
  write: (line: string) => void = line => process.stderr.write(line),
): Logger {
  const jsonLogger = new tslog.Logger<{event: string}>({
    name,
    type: 'json',
    minLevel: LogLevel[minimumLevel],
    hideLogPositionForProduction: true,
    overwrite: {
      transportJSON: line => write(`${JSON.stringify(line)}\n`),
    },
  });
  return {
    debug: (event, fields) => void jsonLogger.debug({event, ...fields}),
    info: (event, fields) => void jsonLogger.info({event, ...fields}),
    warn: (event, fields) => void jsonLogger.warn({event, ...fields}),
    error: (event, fields) => void jsonLogger.error({event, ...fields}),
  };
}

/** A logger that discards every event. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
