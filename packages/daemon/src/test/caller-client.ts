import * as http from 'node:http';
import * as runtime from '@camphorwharf/runtime';
import * as fixture from './declaration-fixture.js';

export interface Answer {
  readonly status: number;
  readonly outcome: string | undefined;
  readonly body: Buffer;
  /** Whether the whole body arrived. */
  readonly complete: boolean;
  /** Local port of the connection; equal ports mean the same connection. */
  readonly localPort: number | undefined;
}

/** Repeats until the probe is true; the timeout of ava bounds it. */
export async function until(probe: () => Promise<boolean>): Promise<void> {
  const clock = new runtime.SystemClock();
  while (!(await probe())) await clock.delay(20);
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: Buffer;
  readonly agent?: http.Agent;
}

export function call(
  port: number,
  path: string,
  {method = 'GET', headers, body, agent}: CallOptions = {},
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const request = http.request(
      {host: '127.0.0.1', port, path, method, headers, agent: agent ?? false},
      response => {
        const localPort = response.socket.localPort;
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        // A cut answer ends in an error; "close" follows in both cases.
        response.on('error', () => undefined);
        response.on('close', () =>
          resolve({
            status: response.statusCode ?? 0,
            outcome: response.headers['camphorwharf-outcome'] as string,
            body: Buffer.concat(chunks),
            complete: response.complete,
            localPort,
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

export const withKey = {authorization: `Bearer ${fixture.KEY}`};

/**
 * Sends a call until it is started. Under the load of other processes the
 * admission refuses some calls of a burst, which have not run.
 */
export async function startedCall(port: number): Promise<Answer> {
  const clock = new runtime.SystemClock();
  for (;;) {
    const answer = await call(port, '/parts/orders', {
      method: 'POST',
      headers: withKey,
    });
    if (answer.outcome !== 'not-run') return answer;
    await clock.delay(20);
  }
}
