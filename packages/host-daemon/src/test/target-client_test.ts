import * as runtime from '@camphorwharf/runtime';
import * as transport from '@camphorwharf/transport';
import test from 'ava';
import type * as localTarget from '../local-target.js';
import * as targetClient from '../target-client.js';
import * as sampleConfiguration from './sample-configuration.js';

const SERVER = {
  instance: 'instance-1',
  service: 'parts',
  hostAddress: '10.0.0.2',
  port: 80,
  availabilityZone: 'a',
  slots: 10,
  phase: 'ready',
  coldRemainingMs: 0,
  startedAtMs: null,
} as const;

interface Case {
  readonly disconnects: boolean;
  readonly sent: boolean;
  readonly kind: 'refused' | 'unknown';
  readonly unreachable: boolean;
  /** What the target says to a query never to start the call. */
  readonly verdict?: 'neverStarts' | 'started' | 'unknown' | 'otherIncarnation';
  /** Whether the target sends no readings of its clock. */
  readonly isOlder?: boolean;
  /** Whether the response has begun when the connection ends. */
  readonly hasBegun?: boolean;
}

/**
 * Guards against avoiding targets because callers have disconnected, against
 * returning rate limit tokens of calls that may have run, and against telling
 * callers that the outcome of a call is unknown although it provably never ran:
 * it was sent on a connection that had gone silent.
 */
const CASES: Readonly<Record<string, Case>> = {
  'the caller disconnects before the call is written': {
    disconnects: true,
    sent: false,
    kind: 'refused',
    unreachable: false,
  },
  'the caller disconnects after the call was written': {
    disconnects: true,
    sent: true,
    kind: 'unknown',
    unreachable: false,
  },
  'the connection ends before the call is written': {
    disconnects: false,
    sent: false,
    kind: 'refused',
    unreachable: true,
  },
  'the connection ends after the call was written': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
  },
  'the target confirms that it never starts the call': {
    disconnects: false,
    sent: true,
    kind: 'refused',
    unreachable: false,
    verdict: 'neverStarts',
  },
  'the target has started the call': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
    verdict: 'started',
  },
  'the target cannot tell whether it has started the call': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
    verdict: 'unknown',
  },
  'a target of an older version confirms it': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
    verdict: 'neverStarts',
    isOlder: true,
  },
  'the response began, and the target no longer has an entry': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
    verdict: 'neverStarts',
    hasBegun: true,
  },
  'another process answers for the target': {
    disconnects: false,
    sent: true,
    kind: 'unknown',
    unreachable: true,
    verdict: 'otherIncarnation',
  },
};
for (const [name, testCase] of Object.entries(CASES)) {
  test(`a call without a response: ${name}`, async t => {
    const caller = new runtime.CancelSource();
    const queries: unknown[] = [];
    const link = {
      remote: {incarnation: 'incarnation-1'},
      request: (query: unknown) => {
        queries.push(query);
        return testCase.verdict === undefined
          ? Promise.reject(new Error('The query is not answered.'))
          : Promise.resolve({kind: 'cancelAnswer', verdict: testCase.verdict});
      },
      call: () => {
        if (testCase.disconnects) caller.abort();
        if (testCase.hasBegun) return Promise.resolve(lostResponse());
        return Promise.resolve({
          kind: 'lost',
          sent: testCase.sent,
          ...(testCase.isOlder ? {} : {sentAfterMs: 7_000}),
        });
      },
    } as unknown as transport.PeerLink;
    const client = new targetClient.TargetClient({
      clock: new runtime.ManualClock(),
      metrics: new runtime.Metrics(),
      bodyMemory: new transport.BodyMemory(),
      peers: {connect: () => Promise.resolve(link)} as never,
      peerPort: 7_000,
      ownAddress: '10.0.0.1',
      ownService: 'shop',
      local: {} as localTarget.LocalTarget,
    });
    const [route] = sampleConfiguration.fleetConfiguration().routes;
    const attempt = await client.send(
      {
        requestId: 'request-1',
        method: 'GET',
        path: '/parts/7',
        headers: [],
        body: null,
        contentLength: null,
        route,
        service: 'parts',
        organisation: null,
        nested: true,
        priority: 1,
        deadlineMs: 1_000,
        arrivedMs: 0,
        signal: caller,
      },
      SERVER,
      1,
    );
    t.is(attempt.result.kind, testCase.kind);
    t.is(attempt.unreachable, testCase.unreachable);
    if (testCase.verdict === undefined) return;
    const expected = [
      {
        kind: 'cancelIfNotStarted',
        requestId: 'request-1',
        attempt: 1,
        incarnation: 'incarnation-1',
        sentAfterMs: 7_000,
      },
    ];
    const isAsked = !testCase.isOlder && !testCase.hasBegun;
    t.deepEqual(queries, isAsked ? expected : []);
  });
}

/** A response whose body is lost with its connection. */
function lostResponse(): transport.PeerResult {
  const error = new runtime.ConnectionError('The connection has ended.');
  const trailer = Promise.reject<transport.ResponseTrailer>(error);
  trailer.catch(() => undefined);
  return {
    kind: 'answer',
    status: 200,
    headers: [],
    contentLength: 9,
    body: (async function* (): AsyncGenerator<Uint8Array> {
      await trailer;
    })(),
    trailer,
  };
}
