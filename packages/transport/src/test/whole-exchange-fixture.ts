import * as net from 'node:net';
import type * as ava from 'ava';
import * as wholeExchange from '../whole-exchange.js';

export const REQUEST = {
  method: 'GET',
  path: '/',
  headers: [['Host', 'shop.example']],
  body: null,
  contentLength: null,
  maximumIdleMs: 1_000,
} as const;

export interface ClientLimits {
  readonly maximumConnections: number;
  readonly maximumBufferedBytes?: number;
}

/** A client of a backend server that this starts; both end with the test. */
export async function clientOf(
  t: ava.ExecutionContext,
  server: net.Server,
  limits: ClientLimits,
): Promise<wholeExchange.WholeExchangeClient> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const client = new wholeExchange.WholeExchangeClient({
    address: '127.0.0.1',
    port: (server.address() as net.AddressInfo).port,
    nowMs: () => 0,
    maximumConnections: () => limits.maximumConnections,
    maximumBufferedBytes: limits.maximumBufferedBytes,
  });
  t.teardown(() => {
    client.destroy();
    server.close();
  });
  return client;
}
