import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';

/** Resolves after the event loop has polled its sockets once. */
export function inputPhase(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/**
 * Resolves when what waits in the kernel has been read: the poll after the one
 * that returns the last data of a connection returns its end.
 */
export async function waitingInput(): Promise<void> {
  await inputPhase();
  await inputPhase();
}

/** The error of everything that was in flight on a connection. */
export function closedError(reason: string | null, cause?: unknown): Error {
  return new runtime.ConnectionError(
    `The peer connection ended (${reason ?? 'closed'}). Open a new one.`,
    {cause},
  );
}

/** A peer that does not read must not keep a closed socket alive. */
export async function limitFlush(
  socket: net.Socket,
  clock: runtime.Clock,
  limitMs: number,
): Promise<void> {
  const flushed = new AbortController();
  socket.once('close', () => flushed.abort());
  await clock.delay(limitMs, flushed.signal);
  socket.destroy();
}
