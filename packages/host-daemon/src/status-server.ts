import * as http from 'node:http';
import type * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import type * as hostDaemonOptions from './host-daemon-options.js';
import type * as requestPreview from './request-preview.js';

/** Path of the states of the zones, on the address of the metrics. */
export const ZONES_PATH = '/zones';

/** Path of previews of requests, on the same address. */
export const WHERE_PATH = '/where';

/** A plain text response. */
export interface TextResponse {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

/** Times of an HTTP connection to a status server. */
const HEADER_TIMEOUT_MS = 3_000;
const IDLE_TIMEOUT_MS = 15_000;
const CHECK_INTERVAL_MS = 500;
const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Status of the response to each result of a preview. */
const PREVIEW_STATUS: Readonly<Record<string, number>> = {
  preview: 200,
  missingParameter: 400,
  unknown: 404,
  notReady: 503,
};

/** Counts and logs the connections that a status server closes. */
export interface StatusServerContext {
  readonly clock: Pick<runtime.Clock, 'monotonicMs'>;
  readonly logger: runtime.Logger;
  readonly metrics: runtime.Metrics;
}

/** Serves small text resources by path, such as readiness and metrics. */
export function serveResources(
  resources: Readonly<
    Record<string, (query: string) => TextResponse | Promise<TextResponse>>
  >,
  port: number,
  address: string,
  context: StatusServerContext,
  maximumConnections: number,
): Promise<http.Server> {
  /** Connections in the order of their last request, with it if unanswered. */
  const connections = new Map<net.Socket, http.ServerResponse | null>();
  const log = new runtime.BoundedLog(context.logger, context.clock);
  const server = http.createServer(
    {
      maxHeaderSize: MAXIMUM_HEADER_BYTES,
      headersTimeout: HEADER_TIMEOUT_MS,
      requestTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (request, response) => {
      const {socket} = request;
      connections.delete(socket);
      connections.set(socket, response);
      request.resume();
      const [path, query = ''] = (request.url ?? '').split('?', 2);
      const resource = resources[path];
      const reply = async () => {
        const {status, type, text} = resource
          ? await resource(query)
          : {status: 404, type: 'text/plain', text: 'Not found.\n'};
        response.writeHead(status, {
          'content-type': type,
          'content-length': Buffer.byteLength(text),
        });
        response.end(text, () => {
          if (connections.has(socket)) connections.set(socket, null);
        });
      };
      reply().catch(() => response.destroy());
    },
  );
  // Also ends a connection whose client does not read its response.
  server.setTimeout(IDLE_TIMEOUT_MS);
  server.on('connection', (socket: net.Socket) => {
    if (connections.size >= maximumConnections) {
      // A check by the platform must find a connection, so the longest idle one
      // makes room.
      const [oldest] = connections.keys();
      connections.delete(oldest);
      oldest.destroy();
      context.metrics.count(
        'status_connections_closed_total',
        'Connections to the status servers closed because of their number.',
      );
      log.info('status-connection-closed', {
        cause: 'connectionLimit',
        address: oldest.remoteAddress ?? null,
      });
    }
    connections.set(socket, null);
    socket.on('close', () => connections.delete(socket));
    const closeAfterResponse = () => {
      const response = connections.get(socket);
      if (response) response.shouldKeepAlive = false;
      socket.pause();
    };
    // One request at a time; the connection closes after the response before a
    // further one.
    transport.limitParsing(socket, {
      mayParse: () => {
        if (!connections.get(socket)) return connections.has(socket);
        closeAfterResponse();
        return false;
      },
      endParsing: closeAfterResponse,
    });
  });
  server.on('clientError', (_error, socket) => socket.destroy());
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => resolve(server));
  });
}

/**
 * The readiness that the platform uses to decide whether to send new work to
 * this host.
 */
export function readinessResponse(isReady: boolean): TextResponse {
  return isReady
    ? {status: 200, type: 'text/plain', text: 'ready\n'}
    : {status: 503, type: 'text/plain', text: 'not ready\n'};
}

/** Starts the servers of readiness, and of metrics, zones and previews. */
export function startStatusServers(
  settings: Pick<
    hostDaemonOptions.HostDaemonSettings,
    'readiness' | 'readinessPath' | 'metrics' | 'metricsPath' | 'clientLimits'
  >,
  isReady: () => boolean,
  context: StatusServerContext,
  zones: () => object,
  preview: requestPreview.RequestPreview,
): Promise<http.Server[]> {
  const {statusConnections} = settings.clientLimits;
  return Promise.all([
    serveResources(
      {[settings.readinessPath]: () => readinessResponse(isReady())},
      settings.readiness.port,
      settings.readiness.address,
      context,
      statusConnections,
    ),
    serveResources(
      {
        [settings.metricsPath]: async () => ({
          status: 200,
          type: 'text/plain; version=0.0.4; charset=utf-8',
          text: await context.metrics.exposition(),
        }),
        [ZONES_PATH]: () => ({
          status: 200,
          type: 'application/json',
          text: JSON.stringify(zones()),
        }),
        [WHERE_PATH]: query => previewResponse(preview, query),
      },
      settings.metrics.port,
      settings.metrics.address,
      context,
      statusConnections,
    ),
  ]);
}

/** Responds to a query with a route and, unless without a key, an organisation. */
export function previewResponse(
  preview: Pick<requestPreview.RequestPreview, 'preview'>,
  query: string,
): TextResponse {
  const parameters = new URLSearchParams(query);
  const route = parameters.get('route');
  const result =
    route === null
      ? {kind: 'missingParameter', parameter: 'route'}
      : preview.preview(route, parameters.get('organisation'));
  return {
    status: PREVIEW_STATUS[result.kind],
    type: 'application/json',
    text: JSON.stringify(result),
  };
}

/** Stops the servers and closes their connections. */
export function closeStatusServers(servers: readonly http.Server[]): void {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
}
