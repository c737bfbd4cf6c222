import * as net from 'node:net';
import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import * as callerHttpServer from '../caller-http-server.js';
import * as helpers from './test-helpers.js';

/** More than one connection may have in progress. */
const LONG_ROW = 40;
const MAXIMUM_CONCURRENT = 8;

/** A response larger than the socket buffers of both ends. */
const LARGE_BODY = new Uint8Array(8 * 1024 * 1024);

interface Started {
  readonly path: string;
  readonly request: callerHttpServer.IncomingRequest;
  answer(reply: callerHttpServer.CallerResponse | null): void;
}

/** A server whose test answers each request, and one client connection. */
class Fixture {
  readonly started: Started[] = [];
  received = '';
  closed = false;
  readonly client: net.Socket;

  private constructor(readonly server: callerHttpServer.CallerHttpServer) {
    this.client = net.connect(server.port, '127.0.0.1');
    this.client.setEncoding('latin1');
    this.client.on('data', (text: string) => (this.received += text));
    this.client.on('error', () => undefined);
    this.client.on('close', () => (this.closed = true));
  }

  static async open(): Promise<Fixture> {
    let fixture: Fixture | null = null;
    const server = new callerHttpServer.CallerHttpServer({
      clock: new runtime.SystemClock(),
      logger: runtime.silentLogger,
      metrics: new runtime.Metrics(),
      bodyMemory: new transport.BodyMemory(),
      handler: request =>
        new Promise(answer => {
          fixture?.started.push({path: request.path, request, answer});
        }),
    });
    await server.listen(0, '127.0.0.1');
    fixture = new Fixture(server);
    return fixture;
  }

  send(...paths: readonly string[]): void {
    const requests = paths.map(
      path => `GET ${path} HTTP/1.1\r\nHost: a.example\r\n\r\n`,
    );
    this.client.write(requests.join(''));
  }

  get startedPaths(): string {
    return this.started.map(({path}) => path).join(' ');
  }

  /** Paths of the responses received, in their order. */
  get answeredPaths(): string {
    const bodies = this.received.matchAll(/"advice":"([^"]+)"/g);
    return [...bodies].map(([, path]) => path).join(' ');
  }

  untilStarted(count: number): Promise<void> {
    return helpers.waitUntil(() => this.started.length >= count);
  }

  answer(path: string, status = 200): void {
    const started = this.started.find(item => item.path === path);
    started?.answer(callerHttpServer.adviceResponse(status, path));
  }

  close(): void {
    this.client.destroy();
    this.server.close();
  }
}

interface Case {
  readonly name: string;
  /** Which failure the case guards against. */
  readonly guards: string;
  readonly run: (fixture: Fixture) => Promise<void>;
  /** Paths that the handler has received. */
  readonly started: string;
  /** Paths of the responses, in order. */
  readonly answered: string;
  /** Whether the server closes the connection. */
  readonly closes: boolean;
}

const CASES: readonly Case[] = [
  {
    name: 'answered in reverse order',
    guards: 'a response to another request',
    run: async fixture => {
      fixture.send('/1', '/2', '/3');
      await fixture.untilStarted(3);
      for (const path of ['/3', '/2', '/1']) fixture.answer(path);
    },
    started: '/1 /2 /3',
    answered: '/1 /2 /3',
    closes: false,
  },
  {
    name: 'a refusal in the middle',
    guards: 'a refusal that ends the requests around it',
    run: async fixture => {
      fixture.send('/1', '/2', '/3');
      await fixture.untilStarted(3);
      fixture.answer('/2', 503);
      fixture.answer('/3');
      fixture.answer('/1');
    },
    started: '/1 /2 /3',
    answered: '/1 /2 /3',
    closes: false,
  },
  {
    name: 'malformed input after two requests',
    guards: 'running requests that are cut off, or a response out of order',
    run: async fixture => {
      fixture.client.write(
        'GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\n' +
          'GET /2 HTTP/1.1\r\nHost: a.example\r\n\r\n' +
          'no request\r\n\r\nGET /3 HTTP/1.1\r\nHost: a.example\r\n\r\n',
      );
      await fixture.untilStarted(2);
      fixture.answer('/2');
      fixture.answer('/1');
      await helpers.waitUntil(() => fixture.closed);
    },
    started: '/1 /2',
    answered: '/1 /2',
    closes: true,
  },
  {
    name: 'a stop between requests',
    guards: 'running requests that are cut off, or work for unread ones',
    run: async fixture => {
      fixture.send('/1', '/2');
      await fixture.untilStarted(2);
      fixture.server.startDraining();
      fixture.send('/3');
      // Gives the server time to read the third request.
      await new Promise(resolve => setTimeout(resolve, 50));
      fixture.answer('/2');
      fixture.answer('/1');
      await helpers.waitUntil(() => fixture.closed);
    },
    started: '/1 /2',
    answered: '/1 /2',
    closes: true,
  },
  ...(
    [
      ['a request that closes the connection', '1.1', 'Connection: close\r\n'],
      ['a request of HTTP/1.0', '1.0', ''],
    ] as const
  ).map(([name, version, header]): Case => ({
    name: `${name} before another`,
    guards: 'a request that runs although the client repeats it',
    run: async fixture => {
      fixture.client.write(
        `GET /1 HTTP/${version}\r\nHost: a.example\r\n${header}\r\n` +
          'GET /2 HTTP/1.1\r\nHost: a.example\r\n\r\n',
      );
      await fixture.untilStarted(1);
      // Gives the server time to read the second request.
      await new Promise(resolve => setTimeout(resolve, 50));
      fixture.answer('/1');
      await helpers.waitUntil(() => fixture.closed);
    },
    started: '/1',
    answered: '/1',
    closes: true,
  })),
  {
    name: 'a connection reset by the client',
    guards: 'work for a client that has disconnected',
    run: async fixture => {
      fixture.send('/1', '/2', '/3');
      await fixture.untilStarted(3);
      fixture.client.resetAndDestroy();
      await helpers.waitUntil(() =>
        fixture.started.every(({request}) => request.signal.aborted),
      );
      await helpers.waitUntil(() => fixture.server.runningCount === 0);
    },
    started: '/1 /2 /3',
    answered: '',
    closes: true,
  },
  {
    name: 'a request that waits for the earlier ones',
    guards: 'an unsafe request that runs although the client repeats it',
    run: async fixture => {
      fixture.send('/1', '/2', '/3');
      await fixture.untilStarted(3);
      const [first, second, third] = fixture.started;
      const order: string[] = [];
      for (const {path, request} of [third, second]) {
        void request.untilEarlierAnswered().then(() => {
          order.push(path);
          fixture.answer(path);
        });
      }
      await new Promise(resolve => setTimeout(resolve, 50));
      if (order.length > 0) throw new Error('A request has not waited.');
      fixture.answer(first.path);
      await helpers.waitUntil(() => order.length === 2);
      if (order.join(' ') !== '/2 /3') throw new Error('Order not kept.');
    },
    started: '/1 /2 /3',
    answered: '/1 /2 /3',
    closes: false,
  },
];

for (const {name, guards, run, started, answered, closes} of CASES) {
  test(`a row of requests: ${name} (guards against ${guards})`, async t => {
    const fixture = await Fixture.open();
    t.teardown(() => fixture.close());
    await run(fixture);
    const count = answered.split(' ').filter(Boolean).length;
    await helpers.waitUntil(
      () => fixture.answeredPaths.split(' ').filter(Boolean).length >= count,
    );
    t.is(fixture.startedPaths, started);
    t.is(fixture.answeredPaths, answered);
    t.is(fixture.closed, closes);
  });
}

test('a slow request bounds the work behind it on its connection', async t => {
  // Guards against one connection that occupies the host.
  const fixture = await Fixture.open();
  t.teardown(() => fixture.close());
  const paths = Array.from({length: LONG_ROW}, (_, index) => `/${index}`);
  fixture.send(...paths);
  await fixture.untilStarted(MAXIMUM_CONCURRENT);
  await new Promise(resolve => setTimeout(resolve, 50));
  t.is(fixture.started.length, MAXIMUM_CONCURRENT);
  for (let index = 0; index < LONG_ROW; index++) {
    await fixture.untilStarted(index + 1);
    fixture.answer(paths[index]);
  }
  await helpers.waitUntil(
    () => fixture.answeredPaths.split(' ').length === LONG_ROW,
  );
  t.is(fixture.answeredPaths, paths.join(' '));
});

test('a client that reads nothing is sent one response at a time', async t => {
  // Guards against responses that pile up in memory for a client that reads
  // none of them.
  const fixture = await Fixture.open();
  t.teardown(() => fixture.close());
  fixture.client.pause();
  fixture.send(...Array.from({length: LONG_ROW}, (_, index) => `/${index}`));
  await fixture.untilStarted(MAXIMUM_CONCURRENT);
  for (const {answer} of fixture.started) {
    answer({status: 200, headers: [], body: LARGE_BODY});
  }
  await new Promise(resolve => setTimeout(resolve, 100));
  t.is(fixture.started.length, MAXIMUM_CONCURRENT);
});
