import * as http from 'node:http';
import type * as net from 'node:net';
import type * as runtime from '@camphorwharf/runtime';

/** What the operator endpoints report and do. */
export interface OperatorHandlers {
  /** Whether the process works; false asks for a restart. */
  readonly alive: () => boolean;
  /** Whether callers should be sent here. */
  readonly ready: () => boolean;
  /** Prometheus text exposition. */
  readonly metrics: () => Promise<string>;
  /** Must be serializable as JSON. */
  readonly status: () => unknown;
  /** Begins the planned stop; the answer is sent before it ends. */
  readonly drain: () => void;
}

export interface OperatorServerOptions {
  readonly logger: runtime.Logger;
  readonly handlers: OperatorHandlers;
}

interface Reply {
  readonly status: number;
  readonly type: string;
  readonly text: string;
  readonly allow?: string;
}

const METHODS: ReadonlyMap<string, readonly string[]> = new Map([
  ['/livez', ['GET', 'HEAD']],
  ['/readyz', ['GET', 'HEAD']],
  ['/metrics', ['GET', 'HEAD']],
  ['/status', ['GET', 'HEAD']],
  ['/drain', ['POST']],
]);

/** The endpoints for operators, on a port of their own. */
export class OperatorServer {
  private readonly server: http.Server;

  constructor(private readonly options: OperatorServerOptions) {
    this.server = http.createServer(
      {
        headersTimeout: 5_000,
        requestTimeout: 10_000,
        keepAliveTimeout: 30_000,
        connectionsCheckingInterval: 1_000,
      },
      (request, response) => void this.serve(request, response),
    );
    // Operators and their monitoring need few; a leak must not grow.
    this.server.maxConnections = 64;
  }

  /** Starts to listen; port 0 chooses one. Resolves with the port. */
  listen(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** Stops listening and closes each connection after its answer. */
  stop(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    request.resume();
    let reply: Reply;
    try {
      reply = await this.reply(request.method ?? '', request.url ?? '');
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      this.options.logger.error('operator-request-failed', {error: message});
      reply = plain(500, 'The request failed; see the log of the daemon.');
    }
    response.writeHead(reply.status, {
      'content-type': reply.type,
      'content-length': Buffer.byteLength(reply.text),
      ...(reply.allow === undefined ? {} : {allow: reply.allow}),
      ...(this.server.listening ? {} : {connection: 'close'}),
    });
    response.end(request.method === 'HEAD' ? undefined : reply.text);
  }

  private async reply(method: string, url: string): Promise<Reply> {
    const {handlers} = this.options;
    const path = url.split('?', 1)[0];
    const methods = METHODS.get(path);
    if (!methods) {
      return plain(404, `Use one of ${[...METHODS.keys()].join(', ')}.`);
    }
    if (!methods.includes(method)) {
      const allow = methods.join(', ');
      return {...plain(405, `Use ${allow} for ${path}.`), allow};
    }
    switch (path) {
      case '/livez':
        return handlers.alive()
          ? plain(200, 'alive')
          : plain(503, 'Not alive; restart the daemon.');
      case '/readyz':
        return handlers.ready()
          ? plain(200, 'ready')
          : plain(503, 'Not ready; see /status.');
      case '/metrics':
        return {
          status: 200,
          type: 'text/plain; version=0.0.4; charset=utf-8',
          text: await handlers.metrics(),
        };
      case '/status':
        return {
          status: 200,
          type: 'application/json',
          text: `${JSON.stringify(handlers.status(), null, 2)}\n`,
        };
      default:
        handlers.drain();
        return plain(202, 'Draining; /readyz and /status show the progress.');
    }
  }
}

function plain(status: number, text: string): Reply {
  return {status, type: 'text/plain; charset=utf-8', text: `${text}\n`};
}
