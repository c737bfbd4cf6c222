export {Importance, MAXIMUM_CALL_DEPTH, passesThreshold} from './context.js';
export type {
  CallContext,
  ImportanceClass,
  SheddingThreshold,
} from './context.js';
export type * from './control-messages.js';
export {FrameDecoder} from './frame-decoder.js';
export type {DecodedFrame, UnsupportedRequest} from './frame-decoder.js';
export {encodeFrame, MAXIMUM_FRAME_BYTES} from './frame-encoder.js';
export type * from './frames.js';
export {PROTOCOL_VERSION_MAXIMUM, PROTOCOL_VERSION_MINIMUM} from './frames.js';
export {RefusalReason, UnknownReason} from './outcomes.js';
export type {
  ReasonDefinition,
  RefusalReasonName,
  UnknownReasonName,
} from './outcomes.js';
export {
  PERMISSION_HEARTBEAT_AGE_MS,
  PERMISSION_LIFETIME_MS,
} from './permission.js';
export {negotiateVersion} from './version.js';
export type {VersionRange} from './version.js';
