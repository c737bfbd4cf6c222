export {BodyBuffer} from './body-buffer.js';
export {BodyMemory, memoryError} from './body-memory.js';
export type {MemoryReservation} from './body-memory.js';
export {confirmNeverStarts} from './call-cancellation.js';
export type {LostCall} from './call-cancellation.js';
export {ResponseMemory, type ResponseTurn} from './response-memory.js';
export {untilInputRead} from './connection-close.js';
export {isFramingExcessive} from './framing-limit.js';
export {PeerConnection} from './peer-connection.js';
export type * from './peer-interfaces.js';
export {PeerListener} from './peer-listener.js';
export type {PeerListenerOptions} from './peer-listener.js';
export {
  CloseReason,
  HEARTBEAT_INTERVAL_MS,
  MAXIMUM_CONCURRENT_CALLS,
  SILENCE_LIMIT_MS,
} from './peer-options.js';
export type {CloseReasonName, PeerOptions} from './peer-options.js';
export {delayToPhase} from './phased-delay.js';
export {PeerPool} from './peer-pool.js';
export {BackendServerClient} from './backend-client.js';
export type {
  BackendClientOptions,
  BackendRequest,
  ProbeResponse,
} from './backend-client.js';
export type {BackendResult} from './backend-exchange.js';
export type {CallerResponse, CallerCall, CallerOutcome} from './caller-call.js';
export {DEFAULT_CALLER_LIMITS} from './caller-guard.js';
export type {CallerLimits} from './caller-guard.js';
export {CallerServer} from './caller-server.js';
export type {CallerServerOptions} from './caller-server.js';
export {OperatorServer} from './operator-server.js';
export type {
  OperatorHandlers,
  OperatorServerOptions,
} from './operator-server.js';
export {PlatformClient} from './platform-client.js';
export type {
  Platform,
  PlatformClientOptions,
  PlatformValue,
} from './platform-client.js';
export {
  headerValue,
  pairRawHeaders,
  endToEndHeaders,
  removeHopByHopHeaders,
} from './http-headers.js';
export {BufferedExchangeClient} from './buffered-exchange-client.js';
export type {BufferedExchangeOptions} from './buffered-exchange-client.js';
export type {
  BufferedExchange,
  BufferedExchangeRequest,
  BufferedExchangeResult,
  BufferedResponse,
} from './buffered-exchange.js';
export type {ConnectionUse} from './server-connection.js';
export {containsStatusLine} from './response-head.js';
export {LingeringClose} from './lingering-close.js';
export {limitIdleParsers, limitParsing} from './parser-limit.js';
export type {ParsingControl} from './parser-limit.js';
export {SectionMemory} from './section-memory.js';
export type {SectionHolder} from './section-memory.js';
export {observeSections} from './section-observer.js';
export type {MessageCounter} from './section-observer.js';
export {UnfinishedSection} from './unfinished-section.js';
export type {ConnectionReading} from './unfinished-section.js';
