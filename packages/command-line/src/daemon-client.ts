import * as http from 'node:http';

import * as runtime from '@camphorwharf/runtime';

import * as errors from './command-error.js';
import * as daemonStatus from './daemon-status.js';
import * as exitCodes from './exit-code.js';
import * as sourceFiles from './source-file.js';

/** Largest answer that is read; a status has a few hundred bytes. */
const MAXIMUM_ANSWER_BYTES = 1_000_000;

export type StatusAnswer =
  | {readonly ok: true; readonly status: daemonStatus.DaemonStatus}
  | {readonly ok: false; readonly message: string};

/**
 * Checks a `HOST:PORT` argument; an IPv6 host stands in brackets.
 *
 * @throws CommandError with the usage exit code.
 */
export function checkAddress(address: string): string {
  const match = /^(?:\[[0-9a-fA-F:.]+\]|[A-Za-z0-9._-]+):(\d{1,5})$/.exec(
    address,
  );
  const port = Number(match?.[1]);
  if (match !== null && port >= 1 && port <= 65_535) return address;
  throw errors.commandError(
    exitCodes.ExitCode.usage,
    `${address} is not HOST:PORT. Name the host and the operator port of a daemon, for example 10.0.0.5:7400.`,
  );
}

/** Asks a daemon for its status. */
export async function fetchStatus(
  address: string,
  timeoutMs: number,
): Promise<StatusAnswer> {
  let answer: HttpAnswer;
  try {
    answer = await exchange(address, 'GET', '/status', timeoutMs);
  } catch (error) {
    return {ok: false, message: describeError(error, timeoutMs)};
  }
  if (answer.status !== 200) {
    return {ok: false, message: `answered with status ${answer.status}`};
  }
  const status = daemonStatus.parseDaemonStatus(answer.text);
  return status === null
    ? {ok: false, message: 'answered with something other than a status'}
    : {ok: true, status};
}

/**
 * Asks a daemon to drain.
 *
 * @returns The HTTP status of the answer; 202 when the daemon drains.
 * @throws CommandError when there is no answer.
 */
export async function requestDrain(
  address: string,
  timeoutMs: number,
): Promise<number> {
  try {
    return (await exchange(address, 'POST', '/drain', timeoutMs)).status;
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.unreachable,
      `${address}: ${describeError(error, timeoutMs)}. Check the address and whether the daemon runs; whether it received the request is unknown.`,
    );
  }
}

interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** One exchange; `timeoutMs` covers it up to the last byte of the answer. */
async function exchange(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  timeoutMs: number,
): Promise<HttpAnswer> {
  const limit = AbortSignal.timeout(timeoutMs);
  try {
    return await exchangeUntil(limit, address, method, path);
  } catch (error) {
    // An abort surfaces as an abort or as a reset, whichever part of the
    // exchange sees it first; the signal tells the cause.
    throw limit.aborted ? limit.reason : error;
  }
}

async function exchangeUntil(
  limit: AbortSignal,
  address: string,
  method: 'GET' | 'POST',
  path: string,
): Promise<HttpAnswer> {
  // fetch() is not used: it refuses to connect to some ports.
  const request = http.request(`http://${address}${path}`, {
    method,
    agent: false,
    signal: limit,
  });
  request.end();
  const response = await new Promise<http.IncomingMessage>(
    (resolve, reject) => {
      request.once('response', resolve);
      // It stays registered, because an error can follow the response.
      request.on('error', reject);
    },
  );
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.byteLength;
    if (bytes > MAXIMUM_ANSWER_BYTES) {
      throw new runtime.ProtocolError('the answer is too long');
    }
    chunks.push(chunk);
  }
  return {
    status: response.statusCode ?? 0,
    text: Buffer.concat(chunks).toString('utf8'),
  };
}

function describeError(error: unknown, timeoutMs: number): string {
  if (error instanceof runtime.ProtocolError) return error.message;
  return isTimeout(error)
    ? `no answer within ${timeoutMs} ms`
    : `no answer (${sourceFiles.errorCode(error)})`;
}

/** Whether the error is the reason of an ended `AbortSignal.timeout`. */
function isTimeout(error: unknown): boolean {
  return error instanceof DOMException && error.name === 'TimeoutError';
}
