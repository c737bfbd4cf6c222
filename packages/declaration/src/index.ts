export {diffDeclarations, diffDocuments} from './diff.js';
export type {Change, DocumentDifference, ForbiddenChange} from './diff.js';
export {DEFAULT_POLICY} from './document.js';
export type {
  EffectivePolicy,
  Labels,
  Organisation,
  Policy,
  PolicySettings,
  PublishedDocument,
  Region,
  Route,
  Selector,
  Service,
} from './document.js';
export {DocumentIndex} from './document-index.js';
export {explainCall, resolvePolicy} from './explain.js';
export type {
  CallDescription,
  CallExplanation,
  PolicyExplanation,
} from './explain.js';
export {HostState} from './host-list.js';
export type {HostEntry, HostList, HostStateName} from './host-list.js';
export {parseDeclaration} from './parse-declaration.js';
export type {ParsedDeclaration} from './parse-declaration.js';
export type {ServicePolicy, SettingSource} from './policy-resolution.js';
export {formatProblem} from './problem.js';
export type {Problem} from './problem.js';
export {
  compile,
  documentDigest,
  MAXIMUM_DOCUMENT_BYTES,
  parsePublishedDocument,
  parsePublishedDocumentAsync,
  serializeDocument,
} from './published-document.js';
export type {ParsedDocument} from './published-document.js';
export type {Declaration} from './sections.js';
export {formatSelector} from './selector.js';
export type {SelectorEvaluation} from './selector.js';
