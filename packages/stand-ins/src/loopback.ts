/**
 * First port for servers on addresses of `loopbackAddress`. It lies below the
 * ports that the kernel assigns to outgoing connections, so no connection of
 * another process can hold it.
 */
export const LOOPBACK_FIRST_PORT = 21_000;

const MAXIMUM_INDEX = 254;

/**
 * Returns an IPv4 loopback address that only processes with the same last 15
 * bits of their id use; `index` is from 1 to 254. Throws RangeError otherwise.
 * A server with a port of its own there needs no search for a free one, which
 * another process could take in the meantime.
 */
export function loopbackAddress(index: number): string {
  if (index < 1 || index > MAXIMUM_INDEX) {
    throw new RangeError(
      `The index ${index} is not between 1 and ${MAXIMUM_INDEX}. Use fewer ` +
        'addresses in one process.',
    );
  }
  // 127.0.x.y is left to servers that other tests open on 127.0.0.1.
  const high = 100 + ((process.pid >> 8) & 127);
  const low = process.pid & 255;
  return `127.${high}.${low}.${index}`;
}
