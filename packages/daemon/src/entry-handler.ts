import * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as callResult from './call-result.js';
import type * as callRouter from './call-router.js';
import * as callerRequest from './caller-request.js';
import type * as runningCallRegistry from './running-call-registry.js';
import type * as outgoingRequest from './outgoing-request.js';
import * as replayableBody from './replayable-body.js';

/** Maximum number of body bytes in the payload digest of idempotency keys. */
const PAYLOAD_DIGEST_LIMIT_BYTES = 1024 * 1024;

/** Maximum number of retry ratios, one per service and ratio. */
const MAXIMUM_RETRY_RATIOS = 1_000;

export interface EntryHandlerOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly documentIndex: () => declaration.DocumentIndex | null;
  readonly limits: Pick<coordination.LimitClient, 'trySpend' | 'spend'>;
  readonly keys: Pick<coordination.KeyClient, 'claim' | 'settle'>;
  readonly router: callRouter.CallRouter;
  readonly runningCalls: runningCallRegistry.RunningCallRegistry;
}

/** A request as received by the caller server. */
export interface EntryCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: protocol.HeaderList;
  readonly contentLength: number | null;
  readonly body: AsyncIterable<Uint8Array> | null;
  readonly signal: AbortSignal;
}

/** Organisation, policy and parent call, from the key or the handle. */
interface AuthorizedCall {
  readonly organisation: declaration.Organisation | null;
  readonly policy: declaration.EffectivePolicy;
  readonly parent: runningCallRegistry.RunningCall | null;
}

/**
 * Decides on calls from callers and from the local backend server in
 * packages/daemon: matches the route, checks key or handle, rate limit and
 * idempotency key, and sends the call through `CallRouter`. `CallerHandler`
 * writes the result as an HTTP response. The counterpart of both in
 * packages/host-daemon is `RequestHandler`.
 */
export class EntryHandler {
  private readonly retryRatios = new Map<string, admission.RetryRatio>();

  constructor(private readonly options: EntryHandlerOptions) {}

  async handle(call: EntryCall): Promise<callResult.CallResult> {
    const index = this.options.documentIndex();
    if (!index) return refused('documentMissing');
    const parsed = callerRequest.parseCallerRequest(call.path, call.headers);
    if (parsed.kind === 'invalid') return refused(parsed.reason);
    const {request} = parsed;
    const route = index.matchRoute(
      request.service,
      call.method,
      request.path.split('?', 1)[0],
    );
    if (!route) return refused('routeUnknown');
    const authorized = this.authorizeCall(index, route, request);
    if (typeof authorized === 'string') return refused(authorized);
    if (authorized.parent || !authorized.organisation) {
      return this.forward(call, request, route, authorized);
    }
    const spendResult = await this.spendToken(
      authorized.organisation.name,
      call.signal,
    );
    if (spendResult !== 'granted') return refused(spendResult);
    return this.forward(call, request, route, authorized);
  }

  /** Takes one token; waits only if no prepaid token is available. */
  private async spendToken(
    organisation: string,
    signal: AbortSignal,
  ): Promise<coordination.SpendResult> {
    const {limits, clock} = this.options;
    const nowMs = clock.monotonicMs();
    if (limits.trySpend(organisation, nowMs)) return 'granted';
    return limits.spend(organisation, nowMs, signal);
  }

  private authorizeCall(
    index: declaration.DocumentIndex,
    route: declaration.Route,
    request: callerRequest.CallerRequest,
  ): AuthorizedCall | protocol.RefusalReasonName {
    if (request.handle !== null) {
      return this.authorizeDownstreamCall(index, route, request.handle);
    }
    if (route.open) {
      const policy = index.effectivePolicy(route, null);
      return {organisation: null, policy, parent: null};
    }
    if (request.keyHash === null) return 'keyMissing';
    const organisation = index.organisationByKeyHash(request.keyHash);
    if (!organisation) return 'keyUnknown';
    const policy = index.effectivePolicy(route, organisation);
    return {organisation, policy, parent: null};
  }

  private authorizeDownstreamCall(
    index: declaration.DocumentIndex,
    route: declaration.Route,
    handle: string,
  ): AuthorizedCall | protocol.RefusalReasonName {
    const parent = this.options.runningCalls.find(handle);
    if (!parent) return 'handleUnknown';
    if (parent.context.depth >= protocol.MAXIMUM_CALL_DEPTH) {
      return 'depthExceeded';
    }
    const name = parent.context.organisation;
    const organisation = name === null ? null : index.organisation(name);
    if (!organisation && !route.open) return 'keyMissing';
    const policy = index.effectivePolicy(route, organisation);
    return {organisation, policy, parent};
  }

  private async forward(
    call: EntryCall,
    request: callerRequest.CallerRequest,
    route: declaration.Route,
    authorized: AuthorizedCall,
  ): Promise<callResult.CallResult> {
    const outgoing = this.createOutgoingRequest(
      call,
      request,
      route,
      authorized,
    );
    const {idempotencyKey} = outgoing.context;
    if (route.idempotent || idempotencyKey === null) {
      return this.options.router.send(outgoing);
    }
    return this.sendWithIdempotencyKey(outgoing, idempotencyKey);
  }

  private createOutgoingRequest(
    call: EntryCall,
    request: callerRequest.CallerRequest,
    route: declaration.Route,
    {organisation, policy, parent}: AuthorizedCall,
  ): outgoingRequest.OutgoingRequest {
    const nowMs = this.options.clock.monotonicMs();
    const timeoutMs = Math.min(
      request.timeoutMs ?? policy.timeoutMs,
      policy.timeoutMs,
    );
    const deadlineMs = Math.min(
      nowMs + timeoutMs,
      parent?.deadlineMs ?? Infinity,
    );
    const requestId = parent
      ? `${parent.context.requestId}.${++parent.children}`
      : runtime.randomIdentifier(this.options.random);
    return {
      service: request.service,
      method: call.method,
      path: request.path,
      headers: request.headers,
      contentLength: call.contentLength,
      body: call.body ? new replayableBody.ReplayableBody(call.body) : null,
      context: {
        requestId,
        organisation: organisation?.name ?? null,
        importance: parent?.context.importance ?? policy.importance,
        rank: parent?.context.rank ?? runtime.hashToUnitInterval(requestId),
        depth: (parent?.context.depth ?? 0) + 1,
        idempotent: route.idempotent,
        idempotencyKey: request.idempotencyKey,
      },
      deadlineMs,
      budget:
        parent?.budget ?? new admission.RequestRetryBudget(policy.retries),
      retryRatio: this.retryRatioFor(request.service, policy.retryRatio),
      signal: parent
        ? AbortSignal.any([call.signal, parent.signal])
        : call.signal,
    };
  }

  private async sendWithIdempotencyKey(
    outgoing: outgoingRequest.OutgoingRequest,
    idempotencyKey: string,
  ): Promise<callResult.CallResult> {
    const {requestId, organisation} = outgoing.context;
    const identity = {
      organisation: organisation ?? '',
      idempotencyKey,
      requestId,
    };
    const nowMs = this.options.clock.monotonicMs();
    const verdict = await this.options.keys.claim(
      {...identity, payloadDigest: await digestPayload(outgoing)},
      nowMs,
      outgoing.deadlineMs - nowMs,
    );
    if (verdict === 'unavailable') return refused('keyOwnerUnavailable');
    switch (verdict.kind) {
      case 'claimed':
        break;
      case 'inProgress':
      case 'completed':
        return {kind: 'unknown', reason: 'duplicateRequest'};
      case 'olderThanOwner':
        return {kind: 'unknown', reason: 'keyOlderThanOwner'};
      case 'payloadDiffers':
        return refused('idempotencyKeyReused');
      case 'invalid':
        return refused('idempotencyKeyInvalid');
      case 'tableFull':
        return refused('keyOwnerUnavailable');
    }
    const result = await this.options.router.send(outgoing);
    this.options.keys.settle({...identity, result: toKeySettleResult(result)});
    return result;
  }

  private retryRatioFor(service: string, ratio: number): admission.RetryRatio {
    const name = `${service}|${ratio}`;
    let retryRatio = this.retryRatios.get(name);
    if (!retryRatio) {
      if (this.retryRatios.size >= MAXIMUM_RETRY_RATIOS) {
        this.retryRatios.clear();
      }
      retryRatio = new admission.ServiceRetryRatio(ratio);
      this.retryRatios.set(name, retryRatio);
    }
    return retryRatio;
  }
}

function toKeySettleResult(
  result: callResult.CallResult,
): protocol.KeySettle['result'] {
  switch (result.kind) {
    case 'answer':
      return {kind: 'completed', status: result.status};
    case 'refused':
      return {kind: 'notRun'};
    case 'unknown':
      return {kind: 'unknown'};
  }
}

/** Digest of the properties that requests with the same key must share. */
async function digestPayload(
  outgoing: outgoingRequest.OutgoingRequest,
): Promise<string> {
  const {method, service, path, contentLength, body} = outgoing;
  const payload = body
    ? await body.readAhead(PAYLOAD_DIGEST_LIMIT_BYTES)
    : Buffer.alloc(0);
  const head = `${method} ${service} ${path} ${contentLength ?? ''}\n`;
  return runtime.sha256Hex(Buffer.concat([Buffer.from(head), payload]));
}

function refused(reason: protocol.RefusalReasonName): callResult.CallResult {
  return {kind: 'refused', reason, final: true};
}
