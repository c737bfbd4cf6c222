import type * as protocol from '@camphorwharf/protocol';
import * as transport from '@camphorwharf/transport';
import type * as targetCall from './target-call.js';

/** Retry delay for callers when the target gives none. */
const DEFAULT_RETRY_AFTER_MS = 300;

/** A target sends no longer responses, whose memory is allocated at once. */
const MAXIMUM_ADMITTED_BYTES = 64 * 1024 * 1024;

/** Who concluded that an attempt has run, has not run, or may have run. */
export type Conclusion =
  /** A response of the backend server. */
  | 'backendServer'
  /** The connection to the target's daemon: no byte of the call was written. */
  | 'connectionNotWritten'
  /** The connection to the target's daemon ended after the call was written. */
  | 'connectionLost'
  /** The target's daemon; its own log says from what. */
  | 'targetDaemon'
  /** This daemon, before it sent the call, or at the deadline. */
  | 'thisDaemon'
  /** The target confirmed, after the call was lost, that it never starts it. */
  | 'withdrawal';

/** Result of one attempt at one target. */
export interface AttemptOutcome {
  readonly result: targetCall.CallResult;
  readonly load: protocol.ReportedLoad | undefined;
  /** Whether no byte of the call has reached the target's daemon. */
  readonly unreachable: boolean;
  /** Who concluded from what that the attempt ended as `result` says. */
  readonly concludedBy: Conclusion;
  /** The target's verdict on a query never to start the call. */
  readonly cancelVerdict?: string;
}

/** Reads a result to its end; returns `lost` if the response is incomplete. */
export async function readResult(
  result: transport.PeerResult,
  memory: transport.BodyMemory,
  responseMemory?: transport.ResponseMemory,
  turn?: transport.ResponseTurn,
): Promise<AttemptOutcome | 'lost'> {
  switch (result.kind) {
    case 'whole': {
      const {status, headers, body, load} = result;
      return {
        result: {kind: 'answer', status, headers, body},
        load,
        unreachable: false,
        concludedBy: 'backendServer',
      };
    }
    case 'answer': {
      const body = await readBody(result, memory, responseMemory, turn);
      if (!body) return 'lost';
      const {status, headers} = result;
      return {
        result: {kind: 'answer', status, headers, body},
        load: undefined,
        unreachable: false,
        concludedBy: 'backendServer',
      };
    }
    case 'refused':
      return {
        result: {
          kind: 'refused',
          reason: result.reason,
          retryAfterMs: result.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
          byServer: result.byServer ?? false,
        },
        load: result.load,
        unreachable: false,
        concludedBy: result.byServer ? 'backendServer' : 'targetDaemon',
      };
    case 'unknown':
      return {
        result: {kind: 'unknown', reason: result.reason},
        load: result.load,
        unreachable: false,
        concludedBy: 'targetDaemon',
      };
    case 'lost':
      return 'lost';
  }
}

/** Returns null if the body is incomplete or does not fit into the memory. */
async function readBody(
  result: transport.PeerResult & {readonly kind: 'answer'},
  memory: transport.BodyMemory,
  responseMemory: transport.ResponseMemory | undefined,
  turn: transport.ResponseTurn | undefined,
): Promise<Uint8Array | null> {
  const {contentLength, trailer} = result;
  if (
    !responseMemory ||
    contentLength === null ||
    contentLength > MAXIMUM_ADMITTED_BYTES
  ) {
    return collectBody(result.body, memory, null);
  }
  // The trailer fails with the call, for example at its deadline.
  const isAdmitted = await admit(
    responseMemory,
    contentLength,
    turn,
    withdraw => void trailer.catch(withdraw),
  );
  if (!isAdmitted) return null;
  try {
    return await collectBody(result.body, null, contentLength);
  } finally {
    // Whoever holds the response from now on counts it again.
    responseMemory.release(contentLength);
  }
}

/**
 * Admits a response to memory. Resolves with false if it was withdrawn before;
 * `onWaiting` gets the function that does so.
 */
export function admit(
  memory: transport.ResponseMemory,
  bytes: number,
  turn: transport.ResponseTurn | undefined,
  onWaiting: (withdraw: () => void) => void,
): Promise<boolean> {
  return new Promise(resolve => {
    const withdraw = memory.admit(bytes, () => resolve(true), turn);
    if (withdraw === null) {
      resolve(true);
      return;
    }
    onWaiting(() => {
      withdraw();
      resolve(false);
    });
  });
}

/** Collects a body, with a reservation in `memory` unless that is null. */
async function collectBody(
  body: AsyncIterable<Uint8Array>,
  memory: transport.BodyMemory | null,
  declaredBytes: number | null,
): Promise<Uint8Array | null> {
  let isEvicted = false;
  const buffer = new transport.BodyBuffer(
    memory?.open(() => (isEvicted = true)) ?? null,
    declaredBytes,
  );
  try {
    for await (const chunk of body) {
      if (isEvicted || !buffer.append(chunk)) return null;
    }
    return isEvicted ? null : buffer.take();
  } catch {
    return null;
  } finally {
    buffer.clear();
  }
}

/** No byte of the call has reached the target's daemon. */
export function unreachableOutcome(): AttemptOutcome {
  return {
    ...refusedOutcome('targetUnavailable', 'connectionNotWritten'),
    unreachable: true,
  };
}

/** The connection ended after the call was written, so it may have run. */
export function lostOutcome(): AttemptOutcome {
  return {
    result: {kind: 'unknown', reason: 'answerLost'},
    load: undefined,
    unreachable: true,
    concludedBy: 'connectionLost',
  };
}

/** The deadline was reached before the response could be sent. */
export function deadlineOutcome(): AttemptOutcome {
  return {
    result: {kind: 'unknown', reason: 'deadlineDuringRun'},
    load: undefined,
    unreachable: false,
    concludedBy: 'thisDaemon',
  };
}

/** The call has not run and never will. */
export function refusedOutcome(
  reason: protocol.RefusalReasonName,
  concludedBy: Conclusion,
): AttemptOutcome {
  return {
    result: {
      kind: 'refused',
      reason,
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
      byServer: false,
    },
    load: undefined,
    unreachable: false,
    concludedBy,
  };
}
