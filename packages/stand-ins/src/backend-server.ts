import * as runtime from '@camphorwharf/runtime';
import * as http from 'node:http';
import * as undici from 'undici';
import * as jsonHttp from './json-http.js';
import * as seeding from './seeding.js';
import * as slotPool from './slot-pool.js';

/** A call that the backend server makes through its local daemon. */
export interface DownstreamCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
}

export interface BackendServerStandInOptions {
  readonly service: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Maximum number of running and queued requests; others get status 503. */
  readonly connectionLimit: number;
  /** Median of the log-normal service time. */
  readonly serviceTimeMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly sigma?: number;
  readonly seed: number;
  /** Time in which service times fall from 5 times the normal after a start. */
  readonly coldStartMs?: number;
  /** Base URL of the local daemon, without a trailing slash. */
  readonly daemonUrl?: string;
  readonly downstream?: readonly DownstreamCall[];
  /** Returns the path that is requested from the daemon for a downstream call. */
  readonly downstreamPath?: (call: DownstreamCall) => string;
  /** Age of the values that `/health` and `/load` report. */
  readonly reportLagMs?: number;
  readonly answerBytes?: number;
  readonly clock?: runtime.Clock;
}

/** Counters with which tests check invariants. */
export interface BackendServerReport {
  readonly service: string;
  readonly started: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly refused: number;
  readonly finishedLate: number;
  readonly downstreamFailed: number;
  readonly sawAuthorization: boolean;
  readonly lastRequestMs: number;
  readonly requestsAfterDrain: number;
  readonly runsPerIdempotencyKey: Readonly<Record<string, number>>;
  readonly duplicateRequestIds: readonly string[];
}

const COLD_START_FACTOR = 5;

/** HTTP backend server with bounded concurrency and fault injection. */
export class BackendServerStandIn {
  private started = 0;
  private completed = 0;
  private cancelled = 0;
  private finishedLate = 0;
  private downstreamFailed = 0;
  private sawAuthorization = false;
  private lastRequestMs = 0;
  private requestsAfterDrain = 0;
  private slowDownFactor = 1;
  private draining = false;
  private reportedLoad: {inFlight: number; slots: number} | null = null;
  private reportedHealth: 'ok' | 'leaving' | null = null;
  private startedMs: number;
  private readonly runsPerIdempotencyKey = new Map<string, number>();
  private readonly runsPerRequestId = new Map<string, number>();
  private readonly pool: slotPool.SlotPool;
  private readonly random: runtime.RandomSource;
  private readonly clock: runtime.Clock;
  private readonly server: http.Server;
  private readonly agent = new undici.Agent({connections: 256});

  constructor(private readonly options: BackendServerStandInOptions) {
    this.clock = options.clock ?? new runtime.SystemClock();
    this.random = seeding.createSeededRandom(options.seed);
    this.pool = new slotPool.SlotPool(options.slots, options.connectionLimit);
    this.startedMs = this.clock.monotonicMs();
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on loopback and returns the port. */
  listen(port = 0): Promise<number> {
    this.startedMs = this.clock.monotonicMs();
    return jsonHttp.listenOnLoopback(this.server, port);
  }

  async close(): Promise<void> {
    await jsonHttp.closeServer(this.server);
    await this.agent.destroy();
  }

  /** Multiplies service times by a factor; 1 restores the normal speed. */
  slowDown(factor: number): void {
    this.slowDownFactor = factor;
  }

  /** Reports `leaving` on `/health`; requests are still served. */
  drain(): void {
    this.draining = true;
  }

  /** Overrides what `/load` reports; null restores the true value. */
  setReportedLoad(load: {inFlight: number; slots: number} | null): void {
    this.reportedLoad = load;
  }

  /** Overrides what `/health` reports; null restores the true value. */
  setReportedHealth(health: 'ok' | 'leaving' | null): void {
    this.reportedHealth = health;
  }

  get inFlight(): number {
    return this.pool.running;
  }

  report(): BackendServerReport {
    return {
      service: this.options.service,
      started: this.started,
      completed: this.completed,
      cancelled: this.cancelled,
      refused: this.pool.refused,
      finishedLate: this.finishedLate,
      downstreamFailed: this.downstreamFailed,
      sawAuthorization: this.sawAuthorization,
      lastRequestMs: this.lastRequestMs,
      requestsAfterDrain: this.requestsAfterDrain,
      runsPerIdempotencyKey: Object.fromEntries(this.runsPerIdempotencyKey),
      duplicateRequestIds: [...this.runsPerRequestId]
        .filter(([, runs]) => runs > 1)
        .map(([requestId]) => requestId),
    };
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    switch (request.url) {
      case '/health':
        await this.serveHealth(response);
        return;
      case '/load':
        await this.serveLoad(response);
        return;
      case '/control':
        await this.serveControl(request, response);
        return;
      default:
        await this.serveRequest(request, response);
    }
  }

  private async serveHealth(response: http.ServerResponse): Promise<void> {
    const state =
      this.reportedHealth ?? (this.draining ? 'leaving' : ('ok' as const));
    await this.clock.delay(this.options.reportLagMs ?? 0);
    jsonHttp.sendJson(response, 200, {state});
  }

  private async serveLoad(response: http.ServerResponse): Promise<void> {
    const load = this.reportedLoad ?? {
      inFlight: this.pool.running,
      slots: this.options.slots,
    };
    await this.clock.delay(this.options.reportLagMs ?? 0);
    jsonHttp.sendJson(response, 200, load);
  }

  private async serveControl(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await jsonHttp.readJson(request);
    if (body['slowDown'] !== undefined) this.slowDown(Number(body['slowDown']));
    if (body['drain'] === true) this.drain();
    if (body['load'] !== undefined) {
      this.setReportedLoad(body['load'] as {inFlight: number; slots: number});
    }
    if (body['health'] !== undefined) {
      this.setReportedHealth(body['health'] as 'ok' | 'leaving' | null);
    }
    jsonHttp.sendJson(response, 200, this.report());
  }

  private async serveRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const arrivedMs = this.clock.monotonicMs();
    if (request.headers['authorization'] !== undefined) {
      this.sawAuthorization = true;
    }
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const body = await jsonHttp.readBody(request);
    const slot = await this.pool.acquire(closed.signal);
    if (slot === 'full') {
      jsonHttp.sendJson(response, 503, {error: 'Too many connections.'});
      return;
    }
    if (slot === 'aborted') {
      this.cancelled++;
      return;
    }
    try {
      this.recordStart(request);
      await this.clock.delay(this.drawServiceTimeMs(), closed.signal);
      const downstreamOk = await this.callDownstream(request, closed.signal);
      if (closed.signal.aborted) {
        this.cancelled++;
        return;
      }
      this.recordEnd(request, arrivedMs);
      this.sendResponse(request, response, body, downstreamOk);
    } finally {
      this.pool.release();
    }
  }

  private recordStart(request: http.IncomingMessage): void {
    this.started++;
    this.lastRequestMs = this.clock.wallMs();
    if (this.draining) this.requestsAfterDrain++;
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') {
      const organisation = String(
        request.headers['camphorwharf-organisation'] ?? '',
      );
      increment(this.runsPerIdempotencyKey, `${organisation}|${key}`);
    }
    const requestId = request.headers['camphorwharf-request-id'];
    if (typeof requestId === 'string' && request.method !== 'GET') {
      increment(this.runsPerRequestId, requestId);
    }
  }

  private recordEnd(request: http.IncomingMessage, arrivedMs: number): void {
    this.completed++;
    const remaining = Number(request.headers['camphorwharf-remaining-ms']);
    if (remaining < this.clock.monotonicMs() - arrivedMs) this.finishedLate++;
  }

  /** Draws a log-normal service time by the Box-Muller transform. */
  private drawServiceTimeMs(): number {
    const {serviceTimeMs, sigma = 0.3, coldStartMs = 0} = this.options;
    const normal =
      Math.sqrt(-2 * Math.log(1 - this.random.next())) *
      Math.cos(2 * Math.PI * this.random.next());
    const ageMs = this.clock.monotonicMs() - this.startedMs;
    const cold =
      ageMs < coldStartMs
        ? 1 + (COLD_START_FACTOR - 1) * (1 - ageMs / coldStartMs)
        : 1;
    return (
      serviceTimeMs * Math.exp(sigma * normal) * cold * this.slowDownFactor
    );
  }

  private async callDownstream(
    request: http.IncomingMessage,
    signal: AbortSignal,
  ): Promise<boolean> {
    const {daemonUrl, downstream = [], downstreamPath} = this.options;
    const handle = request.headers['camphorwharf-handle'];
    if (!daemonUrl || downstream.length === 0) return true;
    let succeeded = true;
    for (const call of downstream) {
      const path = downstreamPath?.(call) ?? `/${call.service}${call.path}`;
      try {
        const downstreamResponse = await undici.request(`${daemonUrl}${path}`, {
          method: call.method as undici.Dispatcher.HttpMethod,
          headers:
            typeof handle === 'string' ? {'camphorwharf-handle': handle} : {},
          dispatcher: this.agent,
          signal,
        });
        await downstreamResponse.body.arrayBuffer();
        if (downstreamResponse.statusCode >= 400) succeeded = false;
      } catch {
        succeeded = false;
      }
      if (!succeeded) break;
    }
    if (!succeeded) this.downstreamFailed++;
    return succeeded;
  }

  /** Echoes the request, so that callers can verify the response. */
  private sendResponse(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
    downstreamOk: boolean,
  ): void {
    jsonHttp.sendJson(response, downstreamOk ? 200 : 502, {
      service: this.options.service,
      method: request.method,
      path: request.url,
      bodyDigest: runtime.sha256Hex(body),
      filler: 'x'.repeat(this.options.answerBytes ?? 0),
    });
  }
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
