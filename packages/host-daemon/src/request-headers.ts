import type * as protocol from '@camphorwharf/protocol';
import * as transport from '@camphorwharf/transport';
import type * as callerHttpServer from './caller-http-server.js';
import type * as httpBinding from './http-binding.js';

/** Timeout of a request whose client sends none or a malformed one. */
const DEFAULT_TIMEOUT_MS = 10_000;

type IncomingHeaders = Pick<callerHttpServer.IncomingRequest, 'headers'>;

/** Returns the path of a request target in origin form. */
export function withoutQuery(target: string): string {
  const queryStart = target.indexOf('?');
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

/** Decodes the headers of client requests by the names of a binding. */
export class RequestHeaders {
  private readonly requestIdHeader: string;
  private readonly deadlineHeader: string;
  private readonly keyHeader: string;
  private readonly internalHeaders: ReadonlySet<string>;

  constructor(private readonly binding: httpBinding.HttpBinding) {
    this.requestIdHeader = binding.requestIdHeader.toLowerCase();
    this.deadlineHeader = binding.deadlineHeader.toLowerCase();
    this.keyHeader = binding.keyHeader.toLowerCase();
    this.internalHeaders = new Set([
      this.deadlineHeader,
      this.keyHeader,
      binding.instanceHeader.toLowerCase(),
      binding.organisationHeader.toLowerCase(),
      binding.callerServiceHeader.toLowerCase(),
    ]);
  }

  /** Empty if the client sends none. */
  requestId(incoming: IncomingHeaders): string {
    return singleHeader(incoming, this.requestIdHeader) ?? '';
  }

  /** Empty if the client sends none. */
  host(incoming: IncomingHeaders): string {
    return singleHeader(incoming, 'host') ?? '';
  }

  /** Null if the request carries no key, empty if it cannot be decoded. */
  key(incoming: IncomingHeaders): string | null {
    const value = singleHeader(incoming, this.keyHeader);
    return value === null ? null : (this.binding.parseKey(value) ?? '');
  }

  /** Time that the client waits for the response, in milliseconds. */
  timeoutMs(incoming: IncomingHeaders): number {
    const value = singleHeader(incoming, this.deadlineHeader);
    if (value === null || !/^\d{1,9}$/.test(value)) return DEFAULT_TIMEOUT_MS;
    return Number(value);
  }

  /** Declared length of the body, in bytes; null if it is not declared. */
  contentLength(incoming: IncomingHeaders): number | null {
    const value = singleHeader(incoming, 'content-length');
    return value === null ? null : Number(value);
  }

  /** Keeps names and order; drops the headers that the daemon sets itself. */
  forwarded(rawHeaders: readonly string[]): protocol.HeaderList {
    return transport.endToEndHeaders(rawHeaders, this.internalHeaders);
  }
}

function singleHeader({headers}: IncomingHeaders, name: string): string | null {
  const value = headers[name];
  return typeof value === 'string' ? value : null;
}
