import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';

/**
 * Connects to a host and verifies that the host answers there: an address may
 * have passed to another host. Throws ConnectionError or TimeoutError.
 */
export async function connectToHost(
  peers: transport.PeerDirectory,
  host: declaration.HostEntry,
): Promise<transport.PeerLink> {
  const link = await peers.connect(host.address, host.peerPort);
  if (link.remote.hostId !== host.hostId) {
    throw new runtime.ConnectionError(
      `Address of host ${host.hostId} is used by host ` +
        `${link.remote.hostId}. Wait for the next host list.`,
    );
  }
  return link;
}

/**
 * Whether an error shows that a host cannot be reached. A slow reply does not:
 * a host that is busy must not lose all its calls for the suspicion time.
 */
export function isUnreachableError(error: unknown): boolean {
  return error instanceof runtime.ConnectionError;
}

/** Sends one control request to a host. Throws as `connectToHost` does. */
export async function sendRequestToHost(
  peers: transport.PeerDirectory,
  host: declaration.HostEntry,
  body: protocol.ControlRequest,
  timeoutMs: number,
): Promise<protocol.ControlReply> {
  const link = await connectToHost(peers, host);
  return link.request(body, timeoutMs);
}

/** Waits for `work` or until `timeoutMs` have passed; null on timeout. */
export async function withTimeout<T>(
  clock: runtime.Clock,
  timeoutMs: number,
  work: Promise<T>,
): Promise<T | null> {
  const timer = new AbortController();
  try {
    return await Promise.race([
      work,
      clock.delay(timeoutMs, timer.signal).then(() => null),
    ]);
  } finally {
    timer.abort();
  }
}
