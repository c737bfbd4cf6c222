/** How long an answer to a view ping counts, from when its ping was sent. */
export const CONTACT_LEASE_MS = 2_000;

/**
 * How long a majority of an older view must be known to have retired before
 * a newer view acts. Greater than each lifetime below plus a clock drift of
 * 1% and a margin of 100 ms.
 */
export const TAKEOVER_FENCE_MS = 3_000;

/** A member that was not reached for this time is removed from the view. */
export const SUSPECT_AFTER_MS = 1_500;

/** How long members other than the first proposer wait before they propose. */
export const PROPOSAL_FALLBACK_MS = 1_000;

/** How long a holder may spend a grant, from when its request was sent. */
export const GRANT_LIFETIME_MS = 2_000;

/** How long a target may start a call that was sent to it. */
export const PERMISSION_LIFETIME_MS = 2_000;

/** Clock drift of 1% of the grant lifetime plus 100 ms. */
export const GRANT_EXPIRY_MARGIN_MS = 120;

/**
 * How long the bucket of a new owner stays without refill. After a release
 * the new owner acts without a fence while the last grant of the former one
 * lives on for GRANT_LIFETIME_MS (with 1% drift and 100 ms margin). Filling
 * from the takeover on exceeded the burst by rate times this time.
 */
export const NEW_OWNER_FILL_DELAY_MS = 2_150;

/**
 * A bucket level is used only if it arrived at most this long before the
 * ownership starts. An owner in between needs two takeover fences, and a
 * hand-over is delivered within PERMISSION_LIFETIME_MS of its sending, so a
 * level that passes this test comes from the direct predecessor.
 */
export const HAND_OVER_USE_MS = 3_900;

/** Greatest number of hosts in a cell. */
export const CELL_MEMBER_LIMIT = 33;

/** Greatest number of views in a history. */
export const VIEW_HISTORY_LIMIT = 16;

/** Age above which an idempotency key is no longer accepted. */
export const KEY_RETENTION_MS = 600_000;

/** Time by which an idempotency key may be ahead of the owner's clock. */
export const KEY_FUTURE_LIMIT_MS = 1_000;

/** Records outlive the acceptance of their key by this margin. */
export const KEY_RECORD_MARGIN_MS = 5_000;

export const KEY_RECORD_LIMIT = 200_000;

export const STARTED_CALL_LIMIT = 50_000;

/** Organisations with a bucket at one owner. */
export const BUCKET_LIMIT = 10_000;

/** Grant holders that one bucket keeps apart. */
export const HOLDER_LIMIT = 16_384;

/** A holder without requests for this time is forgotten. */
export const HOLDER_IDLE_MS = 10_000;

/** Demand that one grant is meant to cover. */
export const GRANT_COVERAGE_MS = 200;

/** Time constant of the demand estimate of a grant holder. */
export const DEMAND_AVERAGING_MS = 1_000;

/** Shortest time between two grant requests of one holder. */
export const GRANT_REQUEST_SPACING_MS = 10;

/**
 * How long demand that found no token is still asked for. A token that
 * arrives after its call gave up is held from the other holders: with 500 ms
 * three holders used 76% of a limit of 5/s and burst 2, with 150 ms 92%.
 */
export const UNMET_DEMAND_MS = 150;
