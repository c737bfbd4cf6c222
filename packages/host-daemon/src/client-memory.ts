import type * as http from 'node:http';
import * as transport from '@camphorwharf/transport';
import * as requestBody from './request-body.js';

/** Parsed requests of all clients, as a part of the process's memory. */
const REQUEST_RATIO = 0.1;

/**
 * Where the requests of all clients reach this multiple of their part, a
 * connection may have one request at a time only. Below it, what one read
 * brought may still be answered.
 */
const REQUEST_STOP_FACTOR = 2;

/** Sections that clients have begun and not ended, as a part of the memory. */
const SECTION_RATIO = 0.05;

/** Received bytes of connections that are not read, as a part of the memory. */
const UNREAD_RATIO = 0.05;

/** What the kernel receives for a connection that is not read. */
const UNREAD_CONNECTION_BYTES = 512 * 1024;

/** Unsent responses of all clients, as a part of the process's memory. */
const RESPONSE_RATIO = 0.12;

/**
 * Memory of a parsed request without its header section: the objects of
 * Node.js for a request and its response, and those of its processing.
 */
export const REQUEST_BYTES = 8 * 1024;

/** Header fields whose objects are included in `REQUEST_BYTES`. */
const INCLUDED_FIELDS = 16;

/**
 * Memory of a further header field beside its characters, as it was received,
 * by its name and as it is forwarded.
 */
const FIELD_BYTES = 256;

/** What is buffered of a body that nobody reads yet, at most. */
const UNREAD_BODY_BYTES = 64 * 1024;

/** Length of a header section without its request line. */
export function headerSize(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const text of rawHeaders) bytes += text.length + 2;
  return bytes;
}

/** Memory of a parsed request with its header section of `headerBytes`. */
export function requestSize(
  request: http.IncomingMessage,
  headerBytes: number,
  isBehindOthers: boolean,
): number {
  const fields = request.rawHeaders.length / 2;
  const furtherFields = Math.max(0, fields - INCLUDED_FIELDS);
  const bodyBytes = isBehindOthers ? waitingBodyBytes(request) : 0;
  return REQUEST_BYTES + headerBytes + furtherFields * FIELD_BYTES + bodyBytes;
}

/** Memory of the body of a request that waits for earlier ones. */
function waitingBodyBytes(request: http.IncomingMessage): number {
  if (!requestBody.hasBody(request)) return 0;
  const length = request.headers['content-length'];
  return unreadBodyBytes(length === undefined ? null : Number(length));
}

/** Memory of a body behind an unanswered request, of null: unknown length. */
export function unreadBodyBytes(contentLength: number | null): number {
  return Math.min(contentLength ?? UNREAD_BODY_BYTES, UNREAD_BODY_BYTES);
}

/**
 * The account of what the connections of all clients cost this process: parsed
 * and waiting requests, sections that have not been ended, and responses that
 * wait for their turn or for the client to read them.
 */
export class ClientMemory {
  readonly responses: transport.ResponseMemory;
  readonly sections: transport.SectionMemory;
  /** Connections that may be held at a time because of their requests. */
  readonly maximumHeldConnections: number;
  private requestBytes = 0;
  private readonly maximumRequestBytes: number;

  constructor(memoryBytes: number) {
    this.maximumRequestBytes = memoryBytes * REQUEST_RATIO;
    this.maximumHeldConnections = Math.floor(
      (memoryBytes * UNREAD_RATIO) / UNREAD_CONNECTION_BYTES,
    );
    this.responses = new transport.ResponseMemory(
      Math.floor(memoryBytes * RESPONSE_RATIO),
    );
    this.sections = new transport.SectionMemory(
      Math.floor(memoryBytes * SECTION_RATIO),
    );
  }

  /** Whether connections with unanswered requests are not read any more. */
  get isFullOfRequests(): boolean {
    return this.requestBytes >= this.maximumRequestBytes;
  }

  /**
   * Unanswered requests of one connection beyond which parsing ends: `maximum`,
   * or at most `maximumWhenFull` while the account is full.
   */
  requestLimit(maximum: number, maximumWhenFull: number): number {
    if (!this.isFullOfRequests) return maximum;
    return this.requestBytes < this.maximumRequestBytes * REQUEST_STOP_FACTOR
      ? Math.min(maximum, maximumWhenFull)
      : 1;
  }

  addRequest(bytes: number): void {
    this.requestBytes += bytes;
  }

  removeRequest(bytes: number): void {
    this.requestBytes -= bytes;
  }
}
