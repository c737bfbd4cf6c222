import * as ownership from '@camphorwharf/ownership';
import * as protocol from '@camphorwharf/protocol';
import * as callClient from './call-client.js';
import * as grantClient from './grant-client.js';
import type * as messages from './messages.js';
import * as settings from './settings.js';

/** Receives the events that the invariants are checked against. */
export interface Observer {
  onTokensSpent(tokens: number): void;
  onCallRun(requestId: string): void;
  onCallOutcome(requestId: string, outcome: callClient.CallOutcome): void;
}

export interface DaemonOptions {
  readonly identity: protocol.MemberIdentity;
  readonly startedMs: number;
  /** Rate of the local clock relative to model time. */
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  readonly spendingMode: grantClient.SpendingMode;
  readonly revision: number;
}

/** What a daemon needs from the model during one step. */
export interface DaemonEnvironment {
  readonly factory: settings.ProductFactory;
  readonly observer: Observer;
  readonly send: messages.Send;
}

/** One daemon process: the product's objects and the messages between them. */
export class Daemon {
  readonly identity: protocol.MemberIdentity;
  readonly member: ownership.CellMember;
  readonly grants: grantClient.GrantClient;
  revision: number;
  /** End of the current pause. */
  pausedUntilMs = -Infinity;
  /** Instant at which a leaving process ends. */
  endsAtMs = Infinity;

  private readonly buckets: ownership.BucketTable;
  private readonly keys: ownership.KeyTable;
  private readonly calls: ownership.StartedCalls;
  private readonly client = new callClient.CallClient();
  private readonly clockRate: number;
  private readonly clockOffsetMs: number;

  constructor(options: DaemonOptions, factory: settings.ProductFactory) {
    this.identity = options.identity;
    this.clockRate = options.clockRate;
    this.clockOffsetMs = options.clockOffsetMs;
    this.revision = options.revision;
    this.member = factory.member(
      options.identity,
      this.localMs(options.startedMs),
    );
    this.buckets = factory.buckets();
    this.grants = new grantClient.GrantClient(
      factory.grant(options.identity),
      options.spendingMode,
    );
    this.keys = factory.keys();
    this.calls = factory.calls();
  }

  /** Converts model time to the local clock. */
  localMs(nowMs: number): number {
    return Math.round(nowMs * this.clockRate) + this.clockOffsetMs;
  }

  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  /** Whether the daemon may act as owner of a shard. */
  mayAct(shard: string, nowMs: number): boolean {
    const permission = this.member.permission(shard, this.localMs(nowMs));
    return permission.kind === 'granted';
  }

  /** Runs the periodic work of one step. */
  act(nowMs: number, environment: DaemonEnvironment): void {
    const localMs = this.localMs(nowMs);
    this.member.proposeIfNeeded(localMs);
    const ping = this.member.createPing(localMs);
    for (const hostId of this.member.peerHostIds) {
      environment.send(hostId, {kind: 'ping', ping});
      environment.send(hostId, {
        kind: 'configuration',
        revision: this.revision,
      });
    }
    const owner = this.member.ownerOf(settings.BUCKET_SHARD);
    this.grants.act(localMs, owner?.hostId ?? null, environment);
    this.client.checkTimeouts(this.callContext(nowMs, environment));
  }

  startCall(
    requestId: string,
    idempotencyKey: string,
    targets: ReadonlyArray<protocol.MemberIdentity>,
    nowMs: number,
    environment: DaemonEnvironment,
  ): void {
    const context = this.callContext(nowMs, environment);
    this.client.start(requestId, idempotencyKey, targets, context);
  }

  /** Leaves the cell and hands over the owned state (rule V8). */
  leave(nowMs: number, environment: DaemonEnvironment): void {
    const localMs = this.localMs(nowMs);
    this.member.leave(localMs);
    const buckets = this.buckets.drainForHandOver(localMs);
    const keys = this.keys.drainForHandOver(localMs);
    const next = new Set(
      [settings.BUCKET_SHARD, settings.KEY_SHARD].map(
        shard => this.member.ownerOf(shard)?.hostId,
      ),
    );
    for (const hostId of next) {
      if (!hostId || hostId === this.identity.hostId) continue;
      const isBucketOwner =
        this.member.ownerOf(settings.BUCKET_SHARD)?.hostId === hostId;
      environment.send(hostId, {
        kind: 'handOver',
        buckets: isBucketOwner ? buckets : [],
        keys,
      });
    }
  }

  /** Adopts an offered configuration revision if the adoption rule allows it. */
  offerRevision(offered: number, factory: settings.ProductFactory): void {
    if (factory.adoptsRevision(this.revision, offered)) {
      this.revision = offered;
    }
  }

  receive(
    message: messages.Message,
    nowMs: number,
    environment: DaemonEnvironment,
  ): void {
    const localMs = this.localMs(nowMs);
    const {body, from} = message;
    const reply = (answer: messages.Body) => environment.send(from, answer);
    switch (body.kind) {
      case 'ping':
        reply({
          kind: 'pingAnswer',
          answer: this.member.answerPing(body.ping, localMs),
          // Stands for the sending time that the pinging daemon remembers.
          pingSentMs: message.sentMs,
        });
        break;
      case 'pingAnswer': {
        const sentMs = this.localMs(body.pingSentMs);
        this.member.recordAnswer(body.answer, sentMs, localMs);
        break;
      }
      case 'grant':
        reply({
          kind: 'grantAnswer',
          holder: body.request.holder,
          sequence: body.request.sequence,
          answer: this.answerGrant(body.request, localMs),
        });
        break;
      case 'grantAnswer':
        this.grants.receiveGrantAnswer(
          body,
          localMs,
          environment.factory.grantLifetimeMs,
        );
        break;
      case 'handOver':
        this.receiveHandOver(message, body, nowMs);
        break;
      case 'claim':
        reply({
          kind: 'claimAnswer',
          requestId: body.claim.requestId,
          verdict: this.answerClaim(body.claim, nowMs),
        });
        break;
      case 'settle':
        this.keys.settle(body.settle, localMs);
        break;
      case 'call':
      case 'cancel':
        this.receiveAsTarget(message, nowMs, environment);
        break;
      case 'claimAnswer':
      case 'callAnswer':
      case 'cancelAnswer':
        this.receiveAsEntry(body, this.callContext(nowMs, environment));
        break;
      case 'configuration':
        this.offerRevision(body.revision, environment.factory);
        break;
    }
  }

  private receiveAsTarget(
    {body, from, sentMs}: messages.Message,
    nowMs: number,
    environment: DaemonEnvironment,
  ): void {
    const localMs = this.localMs(nowMs);
    const keepUntilMs = localMs + 2 * protocol.PERMISSION_LIFETIME_MS;
    if (body.kind === 'call') {
      if (!environment.factory.acceptsCall(sentMs, nowMs)) return;
      const {requestId, attempt} = body;
      const verdict = this.calls.start(
        requestId,
        attempt,
        localMs,
        keepUntilMs,
        localMs,
      );
      if (verdict === 'duplicate') return;
      const ran = verdict === 'start';
      if (ran) environment.observer.onCallRun(requestId);
      environment.send(from, {kind: 'callAnswer', requestId, attempt, ran});
    } else if (body.kind === 'cancel') {
      const {requestId, attempt} = body;
      // Stands for a reading that the entry daemon received before the call.
      const sentAfterMs = this.localMs(body.callSentMs);
      const {verdict} = ownership.answerCancelQuery(
        {...body, kind: 'cancelIfNotStarted', sentAfterMs},
        this.calls,
        this.identity.incarnation,
        localMs,
      );
      environment.send(from, {
        kind: 'cancelAnswer',
        requestId,
        attempt,
        verdict,
      });
    }
  }

  private receiveAsEntry(
    body: Extract<
      messages.Body,
      {kind: 'claimAnswer' | 'callAnswer' | 'cancelAnswer'}
    >,
    context: callClient.CallContext,
  ): void {
    const {requestId} = body;
    if (body.kind === 'claimAnswer') {
      this.client.receiveClaimAnswer(requestId, body.verdict, context);
    } else if (body.kind === 'callAnswer') {
      this.client.receiveCallAnswer(requestId, body.attempt, body.ran, context);
    } else {
      const {attempt, verdict} = body;
      this.client.receiveCancelAnswer(requestId, attempt, verdict, context);
    }
  }

  private answerGrant(
    request: protocol.GrantRequest,
    localMs: number,
  ): protocol.GrantAnswer | null {
    const permission = this.member.permission(settings.BUCKET_SHARD, localMs);
    if (permission.kind !== 'granted') return null;
    return this.buckets.grant(
      request,
      settings.LIMITS,
      permission.ownerSinceMs,
      localMs,
    );
  }

  private answerClaim(
    claim: protocol.KeyClaim,
    nowMs: number,
  ): protocol.KeyAnswer['verdict']['kind'] | 'notOwner' {
    const localMs = this.localMs(nowMs);
    const permission = this.member.permission(settings.KEY_SHARD, localMs);
    if (permission.kind !== 'granted') return 'notOwner';
    const wallMs = settings.WALL_START_MS + nowMs;
    return this.keys.claim(claim, permission.ownerSinceMs, localMs, wallMs)
      .verdict.kind;
  }

  private receiveHandOver(
    message: messages.Message,
    body: Extract<messages.Body, {kind: 'handOver'}>,
    nowMs: number,
  ): void {
    // Stands for the transport, which refuses frames delayed by a pause.
    if (nowMs - message.sentMs >= protocol.PERMISSION_LIFETIME_MS) return;
    const localMs = this.localMs(nowMs);
    for (const level of body.buckets) {
      this.buckets.receiveHandOver(level.organisation, level.tokens, localMs);
    }
    this.keys.receiveHandOver(
      {kind: 'keyHandOver', cell: settings.CELL, ...body.keys},
      localMs,
      settings.WALL_START_MS + nowMs,
    );
  }

  private callContext(
    nowMs: number,
    environment: DaemonEnvironment,
  ): callClient.CallContext {
    return {
      nowMs,
      keyOwner: this.member.ownerOf(settings.KEY_SHARD)?.hostId ?? null,
      send: environment.send,
      report: (requestId, outcome) =>
        environment.observer.onCallOutcome(requestId, outcome),
    };
  }
}
