export {BoundedLog} from './bounded-log.js';
export {CancelSource} from './cancel-signal.js';
export type {CancelSignal} from './cancel-signal.js';
export {ManualClock, SystemClock} from './clock.js';
export type {Clock} from './clock.js';
export {
  BaseError,
  ConfigurationError,
  ConnectionError,
  ProtocolError,
  TimeoutError,
} from './errors.js';
export {EventLoopMeter} from './event-loop-meter.js';
export {rendezvousOrder, sha256Hex, hashToUnitInterval} from './hashing.js';
export {LineWriter} from './line-writer.js';
export {createLogger, LogLevel, silentLogger} from './logger.js';
export type {LogFields, Logger, LogLevelName} from './logger.js';
export {Metrics, formatLabels} from './metrics.js';
export type {AddSeries, ReadSeries} from './metrics.js';
export {
  randomIdentifier,
  randomInteger,
  SeededRandom,
  SystemRandom,
} from './random.js';
export type {RandomSource} from './random.js';
