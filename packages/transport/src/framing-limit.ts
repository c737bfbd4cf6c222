/**
 * Bytes of chunk sizes, headers and interim responses that every message may
 * have: those of a body of 400 KB in chunks of one byte.
 */
const FREE_FRAMING_BYTES = 2 * 1024 * 1024;

/**
 * Whether a message has more framing than payload, beyond a free amount. Each
 * chunk costs processor time, whatever its size, so a sender of tiny chunks
 * would take it from all other requests of the process.
 */
export function isFramingExcessive(
  payloadBytes: number,
  wireBytes: number,
): boolean {
  return wireBytes - payloadBytes > FREE_FRAMING_BYTES + payloadBytes;
}
