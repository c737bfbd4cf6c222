/** Validity of an answer to a view ping, from when the ping was sent. */
export const CONTACT_LEASE_MS = 2_000;

/**
 * How long a majority of an older view must be known to have retired before
 * a newer view becomes active. Longer than each lifetime below plus 1% clock
 * drift and a margin of 100 ms.
 */
export const TAKEOVER_FENCE_MS = 3_000;

/** A member that is unreachable for this time is removed from the view. */
export const SUSPECT_AFTER_MS = 1_500;

/** Delay before members other than the first proposer propose a view. */
export const PROPOSAL_FALLBACK_MS = 1_000;

/** Time for which a holder may spend a grant, from when it was requested. */
export const GRANT_LIFETIME_MS = 2_000;

/** A clock drift of 1% over the grant lifetime plus 100 ms. */
export const GRANT_EXPIRY_MARGIN_MS = 120;

/**
 * Time after a takeover for which the new owner does not refill the bucket.
 * After a release the new owner acts without the takeover fence while the
 * former owner's last grant stays valid for GRANT_LIFETIME_MS (with 1% drift
 * and 100 ms margin). Refilling from the takeover on exceeded the burst by the
 * rate times this delay.
 */
export const NEW_OWNER_FILL_DELAY_MS = 2_150;

/**
 * Maximum age of a handed-over bucket level when the ownership starts. An
 * intermediate owner would take two takeover fences, and a hand-over is
 * delivered within PERMISSION_LIFETIME_MS, so a younger level comes from the
 * direct predecessor.
 */
export const HAND_OVER_MAXIMUM_AGE_MS = 3_900;

/** Maximum number of hosts in a cell. */
export const CELL_MEMBER_LIMIT = 33;

/** Maximum number of views in a history. */
export const VIEW_HISTORY_LIMIT = 16;

/** Maximum age of an accepted idempotency key. */
export const KEY_RETENTION_MS = 600_000;

/** Maximum time by which a key may be ahead of the owner's clock. */
export const KEY_FUTURE_LIMIT_MS = 1_000;

/** Margin for which a record is kept after its key is no longer accepted. */
export const KEY_RECORD_MARGIN_MS = 5_000;

export const KEY_RECORD_LIMIT = 200_000;

/** Maximum number of entries of a call register: 3,300 calls per second. */
export const STARTED_CALL_LIMIT = 50_000;

/**
 * Minimum time for which a started call or a tombstone is recorded. A call can
 * start for 8 s after the reading of the target's clock that it was sent after,
 * and queries within 15 s of that reading can be answered.
 */
export const CALL_RETENTION_MS = 15_000;

/** Maximum number of organisations with a bucket at one owner. */
export const BUCKET_LIMIT = 10_000;

/** Maximum number of holder accounts in one bucket. */
export const HOLDER_LIMIT = 16_384;

/** A holder account without requests for this time may be evicted. */
export const HOLDER_IDLE_MS = 10_000;

/** Time for which one grant is meant to cover the demand. */
export const GRANT_COVERAGE_MS = 200;

/** Time constant of a grant holder's demand estimate. */
export const DEMAND_TIME_CONSTANT_MS = 1_000;

/** Minimum interval between two grant requests of one holder. */
export const GRANT_REQUEST_MINIMUM_INTERVAL_MS = 10;

/**
 * Time for which tokens are requested for unmet demand. A token that arrives
 * after its call has given up is not available to other holders: three holders
 * used 76% of a limit of 5/s and burst 2 with 500 ms, and 92% with 150 ms.
 */
export const UNMET_DEMAND_TTL_MS = 150;
