import * as http from 'node:http';

/** A plain text response. */
export interface TextResponse {
  readonly status: number;
  readonly type: string;
  readonly text: string;
}

/** Serves small text resources by path, such as readiness and metrics. */
export function serveResources(
  resources: Readonly<
    Record<string, () => TextResponse | Promise<TextResponse>>
  >,
  port: number,
  address: string,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    request.resume();
    const resource = resources[(request.url ?? '').split('?', 1)[0]];
    const reply = async () => {
      const {status, type, text} = resource
        ? await resource()
        : {status: 404, type: 'text/plain', text: 'Not found.\n'};
      response.writeHead(status, {
        'content-type': type,
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    };
    reply().catch(() => response.destroy());
  });
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
