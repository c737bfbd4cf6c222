import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as loadResults from './load-results.js';
import * as seeding from './seeding.js';

/** An organisation that sends requests. */
export interface LoadOrganisation {
  readonly name: string;
  readonly key: string;
  /** Share of the arrivals, relative to the other organisations. */
  readonly weight: number;
}

/** A kind of request in the mix. */
export interface LoadRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly weight: number;
  /** Importance class under which results are counted. */
  readonly importance: 0 | 1 | 2 | 3;
  /** Adds an idempotency key and a body. */
  readonly nonIdempotent?: boolean;
}

export interface LoadGeneratorOptions {
  /** Current base URLs of the entry daemons; each request picks one at random. */
  readonly entryUrls: () => readonly string[];
  readonly organisations: readonly LoadOrganisation[];
  readonly requests: readonly LoadRequest[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly timeoutMs?: number;
  /** Retries of a client without backoff. */
  readonly clientRetries?: number;
  /** Maximum number of requests in flight; further arrivals are not sent. */
  readonly maximumInFlight?: number;
  /** Returns the path that is requested from the daemon. */
  readonly requestPath?: (request: LoadRequest) => string;
  readonly clock?: runtime.Clock;
  /** Called at the end of each exchange, for example to build a time series. */
  readonly onSample?: (sample: loadResults.LoadSample) => void;
}

/** A request that is due, with its random choices. */
interface Arrival {
  readonly organisation: LoadOrganisation;
  readonly request: LoadRequest;
  readonly entryUrl: string;
  readonly path: string;
  readonly idempotencyKey: string | null;
  readonly body: string | null;
}

/** Further entry daemons that a client tries when a connection is refused. */
const MAXIMUM_FAILOVERS = 3;

/** Open-loop load generator: arrivals are independent of responses. */
export class LoadGenerator {
  readonly results = new loadResults.LoadResults();
  private readonly clock: runtime.Clock;
  private readonly random: runtime.RandomSource;
  private readonly agent = new undici.Agent({connections: 512, pipelining: 1});
  private inFlight = 0;
  private arrivalsPerSecond: number;

  constructor(private readonly options: LoadGeneratorOptions) {
    this.clock = options.clock ?? new runtime.SystemClock();
    this.random = seeding.createSeededRandom(options.seed);
    this.arrivalsPerSecond = options.requestsPerSecond;
  }

  /** Changes the arrival rate of a running load. */
  setRate(requestsPerSecond: number): void {
    this.arrivalsPerSecond = requestsPerSecond;
  }

  /** Sends load for the duration and resolves when all exchanges have ended. */
  async run(signal?: AbortSignal): Promise<loadResults.LoadResults> {
    const startMs = this.clock.monotonicMs();
    const endMs = startMs + this.options.durationMs;
    const pending = new Set<Promise<void>>();
    let nextMs = startMs;
    while (!signal?.aborted) {
      nextMs +=
        (-Math.log(1 - this.random.next()) / this.arrivalsPerSecond) * 1_000;
      if (nextMs >= endMs) break;
      const waitMs = nextMs - this.clock.monotonicMs();
      // Timers are coarse; arrivals due within 1 ms are sent without one.
      if (waitMs > 1) await this.clock.delay(waitMs, signal);
      const arrival = this.drawArrival();
      if (this.inFlight >= (this.options.maximumInFlight ?? 20_000)) {
        this.results.notSent++;
        continue;
      }
      const sending = this.send(arrival, nextMs).finally(() =>
        pending.delete(sending),
      );
      pending.add(sending);
    }
    await Promise.all(pending);
    this.results.elapsedMs = this.clock.monotonicMs() - startMs;
    await this.agent.close();
    return this.results;
  }

  private drawArrival(): Arrival {
    const {options, random} = this;
    const organisation = drawWeighted(options.organisations, random);
    const request = drawWeighted(options.requests, random);
    const nonce = runtime.randomIdentifier(random, 8);
    return {
      organisation,
      request,
      entryUrl: this.drawEntryUrl(),
      path: `${request.path}?nonce=${nonce}`,
      idempotencyKey: request.nonIdempotent
        ? `${Math.round(this.clock.wallMs())}-${nonce}`
        : null,
      body: request.nonIdempotent ? JSON.stringify({nonce}) : null,
    };
  }

  private drawEntryUrl(): string {
    const entryUrls = this.options.entryUrls();
    return (
      entryUrls[runtime.randomInteger(this.random, entryUrls.length)] ?? ''
    );
  }

  private async send(arrival: Arrival, dueMs: number): Promise<void> {
    this.inFlight++;
    try {
      const attempts = 1 + (this.options.clientRetries ?? 0);
      for (let attempt = 1; attempt <= attempts; attempt++) {
        const outcome = await this.exchangeWithFailover(arrival);
        const sample: loadResults.LoadSample = {
          organisation: arrival.organisation.name,
          importance: arrival.request.importance,
          service: arrival.request.service,
          outcome,
          // Measured from the due time to avoid coordinated omission: a stalled
          // generator must not hide latency.
          latencyMs: this.clock.monotonicMs() - dueMs,
          idempotencyKey: arrival.idempotencyKey,
          first: attempt === 1,
        };
        this.results.record(sample);
        this.options.onSample?.(sample);
        if (outcome.kind === 'completed') return;
      }
    } finally {
      this.inFlight--;
    }
  }

  /**
   * Tries another entry daemon when a connection is refused, as clients do.
   * This is safe, as nothing has been sent.
   */
  private async exchangeWithFailover(
    arrival: Arrival,
  ): Promise<loadResults.LoadOutcome> {
    let outcome = await this.exchange(arrival);
    for (let failover = 0; failover < MAXIMUM_FAILOVERS; failover++) {
      if (outcome.reason !== 'ECONNREFUSED') break;
      outcome = await this.exchange({
        ...arrival,
        entryUrl: this.drawEntryUrl(),
      });
    }
    return outcome;
  }

  private async exchange(arrival: Arrival): Promise<loadResults.LoadOutcome> {
    const {request} = arrival;
    const path =
      this.options.requestPath?.({...request, path: arrival.path}) ??
      `/${request.service}${arrival.path}`;
    const headers: Record<string, string> = {
      authorization: `Bearer ${arrival.organisation.key}`,
    };
    if (this.options.timeoutMs !== undefined) {
      headers['camphorwharf-timeout-ms'] = String(this.options.timeoutMs);
    }
    if (arrival.idempotencyKey !== null) {
      headers['idempotency-key'] = arrival.idempotencyKey;
      headers['content-type'] = 'application/json';
    }
    try {
      const response = await undici.request(`${arrival.entryUrl}${path}`, {
        method: request.method,
        headers,
        body: arrival.body,
        dispatcher: this.agent,
        headersTimeout: 30_000,
        bodyTimeout: 30_000,
      });
      const text = await response.body.text();
      return classifyResponse(
        arrival,
        response.statusCode,
        response.headers,
        text,
      );
    } catch (error) {
      return {kind: 'transportError', reason: errorCode(error)};
    }
  }
}

/** Classifies a response; checks that it is complete and for its request. */
function classifyResponse(
  arrival: Arrival,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): loadResults.LoadOutcome {
  const outcome = headers['camphorwharf-outcome'];
  const reason = String(headers['camphorwharf-reason'] ?? status);
  if (outcome === 'not-run') return {kind: 'notRun', reason};
  if (outcome === 'unknown') return {kind: 'unknown', reason};
  let echo: {path?: unknown; bodyDigest?: unknown};
  try {
    echo = JSON.parse(text) as {path?: unknown; bodyDigest?: unknown};
  } catch {
    return {kind: 'wrongAnswer', reason: 'notComplete'};
  }
  if (
    typeof echo.path !== 'string' ||
    !echo.path.endsWith(arrival.path) ||
    echo.bodyDigest !== runtime.sha256Hex(arrival.body ?? '')
  ) {
    return {kind: 'wrongAnswer', reason: 'otherRequest'};
  }
  if (status >= 400) return {kind: 'failed', reason: String(status)};
  return {kind: 'completed', reason: String(status)};
}

function drawWeighted<T extends {readonly weight: number}>(
  items: readonly T[],
  random: runtime.RandomSource,
): T {
  const totalWeight = items.reduce((sum, item) => sum + item.weight, 0);
  let remainingWeight = random.next() * totalWeight;
  for (const item of items) {
    remainingWeight -= item.weight;
    if (remainingWeight < 0) return item;
  }
  const last = items.at(-1);
  if (!last) {
    throw new runtime.ConfigurationError(
      'The load needs at least one organisation and one request; add them.',
    );
  }
  return last;
}

function errorCode(error: unknown): string {
  return String((error as {code?: unknown}).code ?? 'unknownError');
}
