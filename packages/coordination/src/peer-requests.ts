import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';

/**
 * Connects to a host and verifies its host id, because its address may have
 * been reassigned. Throws ConnectionError or TimeoutError.
 */
export async function connectToHost(
  peers: transport.PeerConnector,
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
 * Whether an error shows that a host is unreachable. A timeout does not: a busy
 * host must not lose all its calls for the time of a suspicion.
 */
export function isUnreachableError(error: unknown): boolean {
  return error instanceof runtime.ConnectionError;
}

/** Sends one control request to a host. Throws as `connectToHost` does. */
export async function sendRequestToHost(
  peers: transport.PeerConnector,
  host: declaration.HostEntry,
  body: protocol.ControlRequest,
  timeoutMs: number,
): Promise<protocol.ControlReply> {
  const link = await connectToHost(peers, host);
  return link.request(body, timeoutMs);
}

/** Awaits `work` for at most `timeoutMs`; resolves to null on timeout. */
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
