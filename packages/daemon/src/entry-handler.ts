import * as admission from '@camphorwharf/admission';
import type * as coordination from '@camphorwharf/coordination';
import type * as declaration from '@camphorwharf/declaration';
import type * as protocol from '@camphorwharf/protocol';
import * as protocolValues from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';
import type * as callResult from './call-result.js';
import type * as callRouter from './call-router.js';
import * as callerRequest from './caller-request.js';
import type * as handles from './handles.js';
import type * as outgoingRequest from './outgoing-request.js';
import * as replayableBody from './replayable-body.js';

/** Bytes of the body that the payload digest of an idempotency key covers. */
const DIGEST_LIMIT_BYTES = 1024 * 1024;

/** Entries kept for retry ratios; one per service. */
const MAXIMUM_RETRY_RATIOS = 1_000;

export interface EntryPathOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.RandomSource;
  readonly routes: () => declaration.DocumentIndex | null;
  readonly limits: Pick<coordination.LimitClient, 'trySpend' | 'spend'>;
  readonly keys: Pick<coordination.KeyClient, 'claim' | 'settle'>;
  readonly router: callRouter.CallRouter;
  readonly running: handles.RunningCalls;
}

/** A request as the caller server delivers it. */
export interface EntryCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: protocol.HeaderList;
  readonly contentLength: number | null;
  readonly body: AsyncIterable<Uint8Array> | null;
  readonly signal: AbortSignal;
}

/** What a call is entitled to, resolved from its key or its handle. */
interface Entitlement {
  readonly organisation: declaration.Organisation | null;
  readonly policy: declaration.EffectivePolicy;
  readonly parent: handles.RunningCall | null;
}

/**
 * The path of a call from a caller or from the local backend server up to
 * the choice of a target: route, key or handle, limit, idempotency key.
 */
export class EntryPath {
  private readonly retryRatios = new Map<string, admission.RetryRatio>();

  constructor(private readonly options: EntryPathOptions) {}

  async handle(call: EntryCall): Promise<callResult.CallResult> {
    const routes = this.options.routes();
    if (!routes) return refused('documentMissing');
    const parsed = callerRequest.parseCallerRequest(call.path, call.headers);
    if (parsed.kind === 'invalid') return refused(parsed.reason);
    const {request} = parsed;
    const route = routes.matchRoute(
      request.service,
      call.method,
      request.path.split('?', 1)[0],
    );
    if (!route) return refused('routeUnknown');
    const entitlement = this.resolveEntitlement(routes, route, request);
    if (typeof entitlement === 'string') return refused(entitlement);
    if (entitlement.parent || !entitlement.organisation) {
      return this.forward(call, request, route, entitlement);
    }
    const spent = await this.spend(entitlement.organisation.name, call.signal);
    if (spent !== 'granted') return refused(spent);
    return this.forward(call, request, route, entitlement);
  }

  /** Takes one token; waits only when no prepaid token is held. */
  private async spend(
    organisation: string,
    signal: AbortSignal,
  ): Promise<coordination.SpendResult> {
    const {limits, clock} = this.options;
    const nowMs = clock.monotonicMs();
    if (limits.trySpend(organisation, nowMs)) return 'granted';
    return limits.spend(organisation, nowMs, signal);
  }

  private resolveEntitlement(
    routes: declaration.DocumentIndex,
    route: declaration.Route,
    request: callerRequest.CallerRequest,
  ): Entitlement | protocol.RefusalReasonName {
    if (request.handle !== null) {
      return this.resolveHandle(routes, route, request.handle);
    }
    if (route.open) {
      const policy = routes.effectivePolicy(route, null);
      return {organisation: null, policy, parent: null};
    }
    if (request.keyHash === null) return 'keyMissing';
    const organisation = routes.organisationOfKey(request.keyHash);
    if (!organisation) return 'keyUnknown';
    const policy = routes.effectivePolicy(route, organisation);
    return {organisation, policy, parent: null};
  }

  private resolveHandle(
    routes: declaration.DocumentIndex,
    route: declaration.Route,
    handle: string,
  ): Entitlement | protocol.RefusalReasonName {
    const parent = this.options.running.find(handle);
    if (!parent) return 'handleUnknown';
    if (parent.context.depth >= protocolValues.MAXIMUM_DEPTH) {
      return 'depthExceeded';
    }
    const name = parent.context.organisation;
    const organisation = name === null ? null : routes.organisation(name);
    if (!organisation && !route.open) return 'keyMissing';
    const policy = routes.effectivePolicy(route, organisation);
    return {organisation, policy, parent};
  }

  private async forward(
    call: EntryCall,
    request: callerRequest.CallerRequest,
    route: declaration.Route,
    entitlement: Entitlement,
  ): Promise<callResult.CallResult> {
    const outgoing = this.prepare(call, request, route, entitlement);
    const {idempotencyKey} = outgoing.context;
    if (route.idempotent || idempotencyKey === null) {
      return this.options.router.send(outgoing);
    }
    return this.sendClaimed(outgoing, idempotencyKey);
  }

  private prepare(
    call: EntryCall,
    request: callerRequest.CallerRequest,
    route: declaration.Route,
    {organisation, policy, parent}: Entitlement,
  ): outgoingRequest.OutgoingRequest {
    const nowMs = this.options.clock.monotonicMs();
    const wantedMs = Math.min(
      request.timeoutMs ?? policy.timeoutMs,
      policy.timeoutMs,
    );
    const deadlineMs = Math.min(
      nowMs + wantedMs,
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
        rank: parent?.context.rank ?? runtime.unitHash(requestId),
        depth: (parent?.context.depth ?? 0) + 1,
        idempotent: route.idempotent,
        idempotencyKey: request.idempotencyKey,
      },
      deadlineMs,
      budget:
        parent?.budget ?? new admission.RequestRetryBudget(policy.retries),
      retryRatio: this.retryRatio(request.service, policy.retryRatio),
      signal: parent
        ? AbortSignal.any([call.signal, parent.signal])
        : call.signal,
    };
  }

  private async sendClaimed(
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
      {...identity, payloadDigest: await payloadDigest(outgoing)},
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
    this.options.keys.settle({...identity, result: settlement(result)});
    return result;
  }

  private retryRatio(service: string, ratio: number): admission.RetryRatio {
    const name = `${service}|${ratio}`;
    let known = this.retryRatios.get(name);
    if (!known) {
      if (this.retryRatios.size >= MAXIMUM_RETRY_RATIOS) {
        this.retryRatios.clear();
      }
      known = new admission.ServiceRetryRatio(ratio);
      this.retryRatios.set(name, known);
    }
    return known;
  }
}

function settlement(
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

/** Digest of what makes two sends with one key the same request. */
async function payloadDigest(
  outgoing: outgoingRequest.OutgoingRequest,
): Promise<string> {
  const {method, service, path, contentLength, body} = outgoing;
  const chunks = body ? await body.readAhead(DIGEST_LIMIT_BYTES) : [];
  const head = `${method} ${service} ${path} ${contentLength ?? ''}\n`;
  return runtime.sha256Hex(Buffer.concat([Buffer.from(head), ...chunks]));
}

function refused(reason: protocol.RefusalReasonName): callResult.CallResult {
  return {kind: 'refused', reason, final: true};
}
