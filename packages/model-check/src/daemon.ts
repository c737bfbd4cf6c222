import * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import * as callClient from './call-client.js';
import * as grantClient from './grant-client.js';
import type * as messages from './messages.js';
import * as settings from './settings.js';

/** What a daemon reports to the checker. */
export interface Observer {
  spent(tokens: number): void;
  ran(requestId: string): void;
  outcome(requestId: string, outcome: callClient.CallOutcome): void;
}

export interface DaemonOptions {
  readonly identity: protocol.MemberIdentity;
  readonly startedMs: number;
  readonly clockRate: number;
  readonly clockOffsetMs: number;
  readonly spending: grantClient.Spending;
  readonly revision: number;
}

export interface Surroundings {
  readonly factory: settings.Factory;
  readonly observer: Observer;
  readonly send: messages.Send;
}

/** One process: the product's objects and the code that connects them. */
export class Daemon {
  readonly identity: protocol.MemberIdentity;
  readonly member: ownership.CellMember;
  readonly grants: grantClient.GrantClient;
  revision: number;
  /** Until when the process is paused. */
  pausedUntilMs = -Infinity;
  /** When a leaving process ends. */
  endsAtMs = Infinity;

  private readonly buckets: ownership.BucketTable;
  private readonly keys: ownership.KeyTable;
  private readonly calls: ownership.StartedCalls;
  private readonly client = new callClient.CallClient();
  private readonly clockRate: number;
  private readonly clockOffsetMs: number;

  constructor(options: DaemonOptions, factory: settings.Factory) {
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
      options.spending,
    );
    this.keys = factory.keys();
    this.calls = factory.calls();
  }

  localMs(nowMs: number): number {
    return Math.round(nowMs * this.clockRate) + this.clockOffsetMs;
  }

  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  mayAct(shard: string, nowMs: number): boolean {
    const permission = this.member.permission(shard, this.localMs(nowMs));
    return permission.kind === 'granted';
  }

  /** What the process does in each step. */
  act(nowMs: number, around: Surroundings): void {
    const localMs = this.localMs(nowMs);
    this.member.proposeIfNeeded(localMs);
    const ping = this.member.createPing(localMs);
    for (const hostId of this.member.peerHostIds) {
      around.send(hostId, {kind: 'ping', ping});
      around.send(hostId, {kind: 'configuration', revision: this.revision});
    }
    const owner = this.member.ownerOf(settings.BUCKET_SHARD);
    this.grants.act(localMs, owner?.hostId ?? null, around);
    this.client.checkTimeouts(this.callContext(nowMs, around));
  }

  startCall(
    requestId: string,
    idempotencyKey: string,
    targets: ReadonlyArray<protocol.MemberIdentity>,
    nowMs: number,
    around: Surroundings,
  ): void {
    const context = this.callContext(nowMs, around);
    this.client.start(requestId, idempotencyKey, targets, context);
  }

  /** Leaves on purpose and hands over what it owns (V8). */
  leave(nowMs: number, around: Surroundings): void {
    const localMs = this.localMs(nowMs);
    this.member.leave(localMs);
    const buckets = this.buckets.takeForHandOver(localMs);
    const keys = this.keys.takeForHandOver(localMs);
    const next = new Set(
      [settings.BUCKET_SHARD, settings.KEY_SHARD].map(
        shard => this.member.ownerOf(shard)?.hostId,
      ),
    );
    for (const hostId of next) {
      if (!hostId || hostId === this.identity.hostId) continue;
      const isBucketOwner =
        this.member.ownerOf(settings.BUCKET_SHARD)?.hostId === hostId;
      around.send(hostId, {
        kind: 'handOver',
        buckets: isBucketOwner ? buckets : [],
        keys,
      });
    }
  }

  takeRevision(offered: number, factory: settings.Factory): void {
    if (factory.adoptsRevision(this.revision, offered)) {
      this.revision = offered;
    }
  }

  receive(
    message: messages.Message,
    nowMs: number,
    around: Surroundings,
  ): void {
    const localMs = this.localMs(nowMs);
    const {body, from} = message;
    const reply = (answer: messages.Body) => around.send(from, answer);
    switch (body.kind) {
      case 'ping':
        reply({
          kind: 'pingAnswer',
          answer: this.member.answerPing(body.ping, localMs),
          // The asker keeps the sending time of each of its pings.
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
        this.grants.takeAnswer(body, localMs, around.factory.grantLifetimeMs);
        break;
      case 'handOver':
        this.takeHandOver(message, body, nowMs);
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
        this.receiveAsTarget(message, nowMs, around);
        break;
      case 'claimAnswer':
      case 'callAnswer':
      case 'cancelAnswer':
        this.receiveAsEntry(body, this.callContext(nowMs, around));
        break;
      case 'configuration':
        this.takeRevision(body.revision, around.factory);
        break;
    }
  }

  private receiveAsTarget(
    {body, from, sentMs}: messages.Message,
    nowMs: number,
    around: Surroundings,
  ): void {
    const localMs = this.localMs(nowMs);
    const keepUntilMs = localMs + 2 * ownership.PERMISSION_LIFETIME_MS;
    if (body.kind === 'call') {
      if (!around.factory.acceptsCall(sentMs, nowMs)) return;
      const {requestId, attempt} = body;
      const verdict = this.calls.start(
        requestId,
        attempt,
        keepUntilMs,
        localMs,
      );
      if (verdict === 'duplicate') return;
      const ran = verdict === 'start';
      if (ran) around.observer.ran(requestId);
      around.send(from, {kind: 'callAnswer', requestId, attempt, ran});
    } else if (body.kind === 'cancel') {
      const {requestId, attempt} = body;
      const verdict =
        body.incarnation === this.identity.incarnation
          ? this.calls.cancelIfNotStarted(
              requestId,
              attempt,
              keepUntilMs,
              localMs,
            )
          : 'otherIncarnation';
      around.send(from, {kind: 'cancelAnswer', requestId, attempt, verdict});
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
      this.client.takeClaim(requestId, body.verdict, context);
    } else if (body.kind === 'callAnswer') {
      this.client.takeCallAnswer(requestId, body.attempt, body.ran, context);
    } else {
      const {attempt, verdict} = body;
      this.client.takeCancelAnswer(requestId, attempt, verdict, context);
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

  private takeHandOver(
    message: messages.Message,
    body: Extract<messages.Body, {kind: 'handOver'}>,
    nowMs: number,
  ): void {
    // The transport refuses what a paused sender sends late.
    if (nowMs - message.sentMs >= ownership.PERMISSION_LIFETIME_MS) return;
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
    around: Surroundings,
  ): callClient.CallContext {
    return {
      nowMs,
      keyOwner: this.member.ownerOf(settings.KEY_SHARD)?.hostId ?? null,
      send: around.send,
      report: (requestId, outcome) =>
        around.observer.outcome(requestId, outcome),
    };
  }
}
