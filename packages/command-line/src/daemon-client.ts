import * as http from 'node:http';

import * as runtime from '@camphorwharf/runtime';

import * as errors from './command-error.js';
import * as daemonStatus from './daemon-status.js';
import * as exitCodes from './exit-code.js';
import * as requestPreview from './request-preview.js';
import * as sourceFiles from './source-file.js';
import * as zoneReport from './zone-report.js';

/** Maximum length of a response body; a status has a few hundred bytes. */
const MAXIMUM_RESPONSE_BYTES = 1_000_000;

/** The same for metrics, which have up to 1 MB for routes and organisations. */
const MAXIMUM_METRICS_BYTES = 8_000_000;

export type StatusResult =
  | {readonly ok: true; readonly status: daemonStatus.DaemonStatus}
  | {readonly ok: false; readonly message: string};

export type ZonesResult =
  | {readonly ok: true; readonly report: zoneReport.ZoneReport}
  | {readonly ok: false; readonly message: string};

export type MetricsResult =
  | {readonly ok: true; readonly text: string}
  | {readonly ok: false; readonly message: string};

export type PreviewResult =
  | {readonly ok: true; readonly preview: requestPreview.PreviewResult}
  | {readonly ok: false; readonly message: string};

/**
 * Validates a `HOST:PORT` argument; an IPv6 address must be in brackets.
 *
 * @throws CommandError with the usage exit code.
 */
export function validateAddress(address: string): string {
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

/** Requests the status of a daemon. */
export async function fetchStatus(
  address: string,
  timeoutMs: number,
): Promise<StatusResult> {
  let response: HttpResponse;
  try {
    response = await sendRequest(address, 'GET', '/status', timeoutMs);
  } catch (error) {
    return {ok: false, message: describeError(error, timeoutMs)};
  }
  if (response.status !== 200) {
    return {ok: false, message: `answered with status ${response.status}`};
  }
  const status = daemonStatus.parseDaemonStatus(response.text);
  return status === null
    ? {ok: false, message: 'answered with something other than a status object'}
    : {ok: true, status};
}

/** Requests the states of the zones from the metrics address of a daemon. */
export async function fetchZones(
  address: string,
  timeoutMs: number,
): Promise<ZonesResult> {
  let response: HttpResponse;
  try {
    response = await sendRequest(address, 'GET', '/zones', timeoutMs);
  } catch (error) {
    return {ok: false, message: describeError(error, timeoutMs)};
  }
  if (response.status !== 200) {
    return {ok: false, message: `answered with status ${response.status}`};
  }
  const report = zoneReport.parseZoneReport(response.text);
  return report === null
    ? {ok: false, message: 'answered with something other than zones'}
    : {ok: true, report};
}

/** Requests the metrics of a daemon in the text format. */
export async function fetchMetrics(
  address: string,
  timeoutMs: number,
): Promise<MetricsResult> {
  let response: HttpResponse;
  try {
    response = await sendRequest(
      address,
      'GET',
      '/metrics',
      timeoutMs,
      MAXIMUM_METRICS_BYTES,
    );
  } catch (error) {
    return {ok: false, message: describeError(error, timeoutMs)};
  }
  return response.status === 200
    ? {ok: true, text: response.text}
    : {ok: false, message: `answered with status ${response.status}`};
}

/**
 * Requests from the metrics address of a daemon what would become of a request;
 * `organisation` is null for one without a key.
 */
export async function fetchPreview(
  address: string,
  route: string,
  organisation: string | null,
  timeoutMs: number,
): Promise<PreviewResult> {
  const query = new URLSearchParams({route});
  if (organisation !== null) query.set('organisation', organisation);
  let response: HttpResponse;
  try {
    const path = `/where?${query}`;
    response = await sendRequest(address, 'GET', path, timeoutMs);
  } catch (error) {
    return {ok: false, message: describeError(error, timeoutMs)};
  }
  // An unknown route has the status 404 as well.
  const preview = requestPreview.parsePreview(response.text);
  if (preview !== null) return {ok: true, preview};
  return response.status === 200
    ? {ok: false, message: 'answered with something other than a preview'}
    : {ok: false, message: `answered with status ${response.status}`};
}

/**
 * Requests that a daemon drains.
 *
 * @returns The HTTP status code; 202 when the daemon starts to drain.
 * @throws CommandError when there is no response.
 */
export async function requestDrain(
  address: string,
  timeoutMs: number,
): Promise<number> {
  try {
    return (await sendRequest(address, 'POST', '/drain', timeoutMs)).status;
  } catch (error) {
    throw errors.commandError(
      exitCodes.ExitCode.unreachable,
      `${address}: ${describeError(error, timeoutMs)}. Check the address and that the daemon is running; whether it received the request is unknown.`,
    );
  }
}

interface HttpResponse {
  readonly status: number;
  readonly text: string;
}

/** Sends a request; `timeoutMs` includes reading the whole response body. */
async function sendRequest(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  timeoutMs: number,
  maximumBytes = MAXIMUM_RESPONSE_BYTES,
): Promise<HttpResponse> {
  const timeoutSignal = AbortSignal.timeout(timeoutMs);
  try {
    return await sendRequestWithSignal(
      timeoutSignal,
      address,
      method,
      path,
      maximumBytes,
    );
  } catch (error) {
    // A timeout can surface as an abort error or as a connection reset,
    // depending on which stream fails first; the signal holds the cause.
    throw timeoutSignal.aborted ? timeoutSignal.reason : error;
  }
}

async function sendRequestWithSignal(
  signal: AbortSignal,
  address: string,
  method: 'GET' | 'POST',
  path: string,
  maximumBytes: number,
): Promise<HttpResponse> {
  // fetch() rejects some port numbers, so http.request() is used.
  const request = http.request(`http://${address}${path}`, {
    method,
    agent: false,
    signal,
  });
  request.end();
  const response = await new Promise<http.IncomingMessage>(
    (resolve, reject) => {
      request.once('response', resolve);
      // Stays registered, because an error can follow the response event.
      request.on('error', reject);
    },
  );
  const chunks: Buffer[] = [];
  let totalBytes = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    totalBytes += chunk.byteLength;
    if (totalBytes > maximumBytes) {
      throw new runtime.ProtocolError('the response body is too long');
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
  return isTimeoutError(error)
    ? `no answer within ${timeoutMs} ms`
    : `no answer (${sourceFiles.systemErrorCode(error)})`;
}

/** Whether the error is the abort reason of an `AbortSignal.timeout`. */
function isTimeoutError(error: unknown): boolean {
  return error instanceof DOMException && error.name === 'TimeoutError';
}
