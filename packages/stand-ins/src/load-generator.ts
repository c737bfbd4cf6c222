import * as runtime from '@camphorwharf/runtime';
import * as undici from 'undici';
import * as loadResults from './load-results.js';
import * as seeding from './seeding.js';

/** An organisation that sends load. */
export interface LoadOrganisation {
  readonly name: string;
  readonly key: string;
  /** Part of the arrivals, relative to the other organisations. */
  readonly weight: number;
}

/** One kind of request of the mix. */
export interface LoadRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly weight: number;
  /** Class under which results are reported. */
  readonly importance: 0 | 1 | 2 | 3;
  /** Adds an idempotency key and a body. */
  readonly nonIdempotent?: boolean;
}

export interface LoadGeneratorOptions {
  /** Base URLs of entry daemons now; each request takes one at random. */
  readonly entryUrls: () => readonly string[];
  readonly organisations: readonly LoadOrganisation[];
  readonly requests: readonly LoadRequest[];
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  readonly timeoutMs?: number;
  /** Immediate repeats by a client that does not back off. */
  readonly clientRetries?: number;
  /** Requests in flight above which arrivals are counted and not sent. */
  readonly maximumInFlight?: number;
  /** Path to request from the daemon. */
  readonly requestPath?: (request: LoadRequest) => string;
  readonly clock?: runtime.Clock;
  /** Sees each exchange as it ends, for example for a time series. */
  readonly onSample?: (sample: loadResults.LoadSample) => void;
}

interface Arrival {
  readonly organisation: LoadOrganisation;
  readonly request: LoadRequest;
  readonly entryUrl: string;
  readonly path: string;
  readonly idempotencyKey: string | null;
  readonly body: string | null;
}

/** Further entry daemons that a client tries when one refuses to connect. */
const MAXIMUM_OTHER_ENTRIES = 3;

/** Open-loop load: arrivals do not wait for answers. */
export class LoadGenerator {
  readonly results = new loadResults.LoadResults();
  private readonly clock: runtime.Clock;
  private readonly random: runtime.RandomSource;
  private readonly agent = new undici.Agent({connections: 512, pipelining: 1});
  private inFlight = 0;
  private rate: number;

  constructor(private readonly options: LoadGeneratorOptions) {
    this.clock = options.clock ?? new runtime.SystemClock();
    this.random = seeding.warmRandom(options.seed);
    this.rate = options.requestsPerSecond;
  }

  /** Changes the arrival rate while the load runs. */
  setRate(requestsPerSecond: number): void {
    this.rate = requestsPerSecond;
  }

  /** Sends load for the duration and resolves when each answer has ended. */
  async run(signal?: AbortSignal): Promise<loadResults.LoadResults> {
    const startMs = this.clock.monotonicMs();
    const endMs = startMs + this.options.durationMs;
    const running = new Set<Promise<void>>();
    let nextMs = startMs;
    while (!signal?.aborted) {
      nextMs += (-Math.log(1 - this.random.next()) / this.rate) * 1_000;
      if (nextMs >= endMs) break;
      const waitMs = nextMs - this.clock.monotonicMs();
      // Timers are coarse; arrivals that are due are sent without a timer.
      if (waitMs > 1) await this.clock.delay(waitMs, signal);
      const arrival = this.drawArrival();
      if (this.inFlight >= (this.options.maximumInFlight ?? 20_000)) {
        this.results.notSent++;
        continue;
      }
      const sent = this.send(arrival, nextMs).finally(() =>
        running.delete(sent),
      );
      running.add(sent);
    }
    await Promise.all(running);
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
        const outcome = await this.exchangeOverEntries(arrival);
        const sample: loadResults.LoadSample = {
          organisation: arrival.organisation.name,
          importance: arrival.request.importance,
          service: arrival.request.service,
          outcome,
          // Measured from the due time, so that a stalled generator does not
          // hide latency (coordinated omission).
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
   * Goes to another entry daemon when a connection is refused, as clients do:
   * nothing was sent then.
   */
  private async exchangeOverEntries(
    arrival: Arrival,
  ): Promise<loadResults.LoadOutcome> {
    let outcome = await this.exchange(arrival);
    for (let other = 0; other < MAXIMUM_OTHER_ENTRIES; other++) {
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
      const answer = await undici.request(`${arrival.entryUrl}${path}`, {
        method: request.method,
        headers,
        body: arrival.body,
        dispatcher: this.agent,
        headersTimeout: 30_000,
        bodyTimeout: 30_000,
      });
      const text = await answer.body.text();
      return classify(arrival, answer.statusCode, answer.headers, text);
    } catch (error) {
      return {kind: 'transportError', reason: errorCode(error)};
    }
  }
}

/** Verifies that an answer is whole and belongs to its request. */
function classify(
  arrival: Arrival,
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): loadResults.LoadOutcome {
  const outcome = headers['camphorwharf-outcome'];
  const reason = String(headers['camphorwharf-reason'] ?? status);
  if (outcome === 'not-run') return {kind: 'notRun', reason};
  if (outcome === 'unknown') return {kind: 'unknown', reason};
  let answer: {path?: unknown; bodyDigest?: unknown};
  try {
    answer = JSON.parse(text) as {path?: unknown; bodyDigest?: unknown};
  } catch {
    return {kind: 'wrongAnswer', reason: 'notComplete'};
  }
  if (
    typeof answer.path !== 'string' ||
    !answer.path.endsWith(arrival.path) ||
    answer.bodyDigest !== runtime.sha256Hex(arrival.body ?? '')
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
  const total = items.reduce((sum, item) => sum + item.weight, 0);
  let left = random.next() * total;
  for (const item of items) {
    left -= item.weight;
    if (left < 0) return item;
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
