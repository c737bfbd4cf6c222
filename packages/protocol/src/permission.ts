/** Time within which a target may start a call that was sent to it. */
export const PERMISSION_LIFETIME_MS = 2_000;

/**
 * Maximum age of the heartbeat from which a permission counts. Heartbeats of
 * idle connections are 2 s apart and their silence is noticed after 4.4 s.
 */
export const PERMISSION_HEARTBEAT_AGE_MS = 6_000;
