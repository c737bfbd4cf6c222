export type * from './interfaces.js';
export {Buckets} from './buckets.js';
export type {BucketsOptions} from './buckets.js';
export {CallRegister} from './call-register.js';
export type {CallRegisterOptions} from './call-register.js';
export {answerCancelQuery} from './cancel-answer.js';
export {CellMember} from './cell-member.js';
export type {CellMemberOptions} from './cell-member.js';
export {
  CALL_RETENTION_MS,
  CELL_MEMBER_LIMIT,
  CONTACT_LEASE_MS,
  GRANT_COVERAGE_MS,
  GRANT_EXPIRY_MARGIN_MS,
  GRANT_LIFETIME_MS,
  HAND_OVER_MAXIMUM_AGE_MS,
  KEY_FUTURE_LIMIT_MS,
  KEY_RECORD_LIMIT,
  KEY_RETENTION_MS,
  NEW_OWNER_FILL_DELAY_MS,
  PROPOSAL_FALLBACK_MS,
  STARTED_CALL_LIMIT,
  SUSPECT_AFTER_MS,
  TAKEOVER_FENCE_MS,
  UNMET_DEMAND_TTL_MS,
  VIEW_HISTORY_LIMIT,
} from './constants.js';
export {KeyRecords} from './key-records.js';
export type {KeyRecordsOptions} from './key-records.js';
export {PrepaidGrant} from './prepaid-grant.js';
export type {PrepaidGrantOptions} from './prepaid-grant.js';
export {compareViews, majorityOf, memberKey, isSameMember} from './views.js';
