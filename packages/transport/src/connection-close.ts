import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';

/** Resolves after the event loop has polled for I/O once. */
export function untilNextPoll(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Resolves when input that the kernel has already received has been read. Two
 * polls are needed: the first returns the last data of a connection, the second
 * its end.
 */
export async function untilInputRead(): Promise<void> {
  await untilNextPoll();
  await untilNextPoll();
}

/** Creates the error for everything in flight on a closed connection. */
export function closedError(reason: string | null, cause?: unknown): Error {
  return new runtime.ConnectionError(
    `The peer connection ended (${reason ?? 'closed'}). Open a new one.`,
    {cause},
  );
}

/**
 * Destroys a closing socket that has not flushed its output after `timeoutMs`,
 * so that a peer that does not read cannot keep it open.
 */
export async function forceClose(
  socket: net.Socket,
  clock: runtime.Clock,
  timeoutMs: number,
): Promise<void> {
  const flushed = new AbortController();
  socket.once('close', () => flushed.abort());
  await clock.delay(timeoutMs, flushed.signal);
  socket.destroy();
}
