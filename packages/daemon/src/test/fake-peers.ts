import * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import type * as callResult from '../call-result.js';
import * as callRouter from '../call-router.js';
import type * as outgoing from '../outgoing-request.js';

export const NO_TRAILER = {unspentRetries: 0, threshold: null};

export function refusal(
  reason: protocol.RefusalReasonName,
  final = false,
  unspentRetries = 0,
): transport.PeerResult {
  return {kind: 'refused', reason, final, unspentRetries, threshold: null};
}

export function unknownOutcome(
  reason: protocol.UnknownReasonName,
): transport.PeerResult {
  return {kind: 'unknown', reason, ...NO_TRAILER};
}

export function completed(status = 200): transport.PeerResult {
  return {
    kind: 'answer',
    status,
    headers: [],
    contentLength: 0,
    body: (async function* () {})(),
    trailer: Promise.resolve(NO_TRAILER),
  };
}

export const lostBeforeSend: transport.PeerResult = {kind: 'lost', sent: false};
export const lostAfterSend: transport.PeerResult = {
  kind: 'lost',
  sent: true,
  sentAfterMs: 7_000,
};

export type CancelVerdict = Extract<
  protocol.ControlReply,
  {kind: 'cancelAnswer'}
>['verdict'];

export interface FakePeersOptions {
  /** Returns the result of each call. */
  readonly answer: (
    call: transport.OutgoingCall,
    hostId: string,
  ) => transport.PeerResult | Promise<transport.PeerResult>;
  readonly cancelVerdict?: CancelVerdict | 'unreachable';
  readonly hosts?: number;
  /** Ports that refuse connections. */
  readonly closedPorts?: readonly number[];
}

/** Fake peers and load balancer with scripted results. */
export class FakePeers
  implements transport.PeerConnector, outgoing.LoadBalancer
{
  readonly calls: Array<{hostId: string; call: transport.OutgoingCall}> = [];
  readonly queries: protocol.ControlRequest[] = [];
  readonly results: coordination.TargetResult[] = [];
  startCount = 0;

  constructor(private readonly options: FakePeersOptions) {}

  get hostIds(): string[] {
    return this.calls.map(({hostId}) => hostId);
  }

  choose(
    _service: string,
    _call: unknown,
    _nowMs: number,
    excluded: ReadonlySet<string>,
  ): coordination.TargetChoice {
    for (let index = 0; index < (this.options.hosts ?? 5); index++) {
      const host = hostEntry(index);
      if (!excluded.has(host.hostId)) return {kind: 'target', host};
    }
    return {kind: 'none', reason: 'noTarget'};
  }

  noteStart(): void {
    this.startCount++;
  }

  noteEnd(_hostId: string, result: coordination.TargetResult): void {
    this.results.push(result);
  }

  connect(_address: string, port: number): Promise<transport.PeerLink> {
    if (this.options.closedPorts?.includes(port)) {
      return Promise.reject(new runtime.ConnectionError('closed'));
    }
    return Promise.resolve(this.link(port));
  }

  connectUnshared(_address: string, port: number): Promise<transport.PeerLink> {
    if (this.options.cancelVerdict === 'unreachable') {
      return Promise.reject(new runtime.ConnectionError('closed'));
    }
    return Promise.resolve(this.link(port));
  }

  private link(port: number): transport.PeerLink {
    const {hostId} = hostEntry(port);
    return {
      remote: {
        kind: 'hello',
        versionMinimum: 1,
        versionMaximum: 1,
        hostId,
        incarnation: `incarnation-of-${hostId}`,
        service: 'parts',
        availabilityZone: 'a',
      },
      closed: false,
      report: () => undefined,
      request: body => {
        this.queries.push(body);
        const verdict = this.options.cancelVerdict;
        if (verdict === undefined || verdict === 'unreachable') {
          return Promise.reject(new runtime.TimeoutError('no reply'));
        }
        return Promise.resolve({kind: 'cancelAnswer', verdict});
      },
      call: async call => {
        this.calls.push({hostId, call});
        return this.options.answer(call, hostId);
      },
      close: () => undefined,
    };
  }
}

/** Creates a host entry whose peer port is its index. */
function hostEntry(index: number): declaration.HostEntry {
  return {
    hostId: `host-${index}`,
    address: '127.0.0.1',
    peerPort: index,
    callerPort: 1,
    service: 'parts',
    region: 'r',
    availabilityZone: 'a',
    state: 'live',
  };
}

export function createRouter(
  peers: FakePeers,
  clock: runtime.Clock = new runtime.ManualClock(),
  onLeaving: (remote: protocol.Hello) => void = () => undefined,
): callRouter.CallRouter {
  return new callRouter.CallRouter({
    clock,
    metrics: new runtime.Metrics(),
    peers,
    targets: peers,
    thresholds: {update: () => undefined, passes: () => true},
    onTargetLeaving: onLeaving,
  });
}

export function outgoingRequest(
  overrides: Partial<outgoing.OutgoingRequest> & {
    readonly idempotent?: boolean;
  } = {},
): outgoing.OutgoingRequest {
  return {
    service: 'parts',
    method: 'POST',
    path: '/a',
    headers: [],
    contentLength: null,
    body: null,
    context: {
      requestId: 'request-1',
      organisation: 'shop',
      importance: 1,
      rank: 0.5,
      depth: 1,
      idempotent: overrides.idempotent ?? false,
      idempotencyKey: null,
    },
    deadlineMs: 5_000,
    budget: new admission.RequestRetryBudget(3),
    retryRatio: {noteFirstAttempt: () => undefined, tryRetry: () => true},
    signal: new AbortController().signal,
    ...overrides,
  };
}

/** Formats a result as its kind and its status or reason. */
export function summary(result: callResult.CallResult): string {
  if (result.kind === 'answer') return `answer ${result.status}`;
  return `${result.kind} ${result.reason}`;
}
