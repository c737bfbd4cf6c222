export {BackendServerStandIn} from './backend-server.js';
export type {
  BackendServerReport,
  BackendServerStandInOptions,
  DownstreamCall,
} from './backend-server.js';
export {LoadGenerator} from './load-generator.js';
export type {
  LoadGeneratorOptions,
  LoadOrganisation,
  LoadRequest,
} from './load-generator.js';
export {LoadResults} from './load-results.js';
export type {LatencySummary, LoadOutcome, LoadSample} from './load-results.js';
export {LOOPBACK_FIRST_PORT, loopbackAddress} from './loopback.js';
export {PlatformStandIn} from './platform.js';
export type {PlatformMode, PlatformStandInOptions} from './platform.js';
export {ProcessUsage} from './process-usage.js';
export type {PeakUsage} from './process-usage.js';
export {
  UntrustedClients,
  readSlowly,
  sendAndClose,
  sendOnce,
  sendWithoutEnd,
  sendWithPauses,
} from './untrusted-clients.js';
export {
  bodyInTinyChunks,
  shortestFields,
  shortFields,
  tinyFields,
} from './untrusted-requests.js';
export type {ClientBehaviour, ClientEndpoint} from './untrusted-clients.js';
