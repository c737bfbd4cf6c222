import * as runtime from '@camphorwharf/runtime';
import * as os from 'node:os';
import type * as fleets from '../demo/fleet.js';
import * as daemonClient from '../daemon-client.js';
import * as output from '../output.js';
import * as bounds from './bounds.js';
import * as documents from './documents.js';
import * as fleetSession from './fleet-session.js';
import * as statistics from './statistics.js';

const STATUS_TIMEOUT_MS = 3_000;

const SENT_BYTES_METRIC = 'camphorwharf_peer_bytes_sent_total';
const RECEIVED_BYTES_METRIC = 'camphorwharf_peer_bytes_received_total';

export interface CostOptions {
  /** Fleet sizes in hosts, measured one after the other. */
  readonly sizes: readonly number[];
  readonly seconds: number;
  /** Time between readiness and the measurement. */
  readonly settleSeconds: number;
  /** New document revisions per second during the measurement. */
  readonly changesPerSecond: number;
  readonly seed: number;
  readonly clock: runtime.Clock;
  readonly progress: (message: string) => void;
}

/** Median and maximum of a quantity over the daemons of a fleet. */
export interface MedianAndMaximum {
  readonly median: number;
  readonly maximum: number;
}

/** Resource usage of the daemons of one fleet without calls. */
export interface FleetSizeResult {
  readonly hosts: number;
  readonly cpuPercent: MedianAndMaximum;
  readonly residentMb: MedianAndMaximum;
  readonly sentKbPerSecond: MedianAndMaximum;
  readonly receivedKbPerSecond: MedianAndMaximum;
  /** Sum of bytes sent and received. */
  readonly trafficKbPerSecond: MedianAndMaximum;
  /** Number of revisions published during the measurement. */
  readonly changes: number;
  /** Lowest revision in force at the end; null when a daemon has none. */
  readonly lowestRevision: number | null;
  /** Load averages of the machine over 1, 5 and 15 minutes, at the end. */
  readonly loadAverage: readonly number[];
}

export interface CostReport {
  readonly seed: number;
  readonly seconds: number;
  readonly settleSeconds: number;
  readonly changesPerSecond: number;
  readonly processors: number;
  readonly sizes: readonly FleetSizeResult[];
  /** Fits of the median over the number of peers; null for a single size. */
  readonly fits: Readonly<Record<string, statistics.FittedLine | null>>;
  /** Compares the largest value over all measured sizes with each bound. */
  readonly verdicts: readonly bounds.Verdict[];
}

/** Measures one fleet of each size, one after the other. */
export async function measureCost(options: CostOptions): Promise<CostReport> {
  const sizes: FleetSizeResult[] = [];
  for (const size of options.sizes) {
    options.progress(`fleet of ${size} hosts`);
    sizes.push(
      await fleetSession.withFleet(
        {
          ...options,
          deployment: documents.singleServiceDeployment(size),
          document: documents.singleServiceDocument(1),
          sharedBackendServer: true,
        },
        fleet => measureFleet(options, fleet),
      ),
    );
  }
  const fit = (select: (size: FleetSizeResult) => MedianAndMaximum) =>
    statistics.fitLine(
      sizes.map(size => ({x: size.hosts - 1, value: select(size).median})),
    );
  const largestMaximum = (
    select: (size: FleetSizeResult) => MedianAndMaximum,
  ) => Math.max(...sizes.map(size => select(size).maximum));
  return {
    seed: options.seed,
    seconds: options.seconds,
    settleSeconds: options.settleSeconds,
    changesPerSecond: options.changesPerSecond,
    processors: os.availableParallelism(),
    sizes,
    fits: {
      'CPU, % of a core': fit(size => size.cpuPercent),
      'resident memory, MB': fit(size => size.residentMb),
      'sent, KB/s': fit(size => size.sentKbPerSecond),
      'received, KB/s': fit(size => size.receivedKbPerSecond),
    },
    verdicts: [
      bounds.compareWithBound(
        bounds.BOUNDS.cpu,
        largestMaximum(size => size.cpuPercent),
      ),
      bounds.compareWithBound(
        bounds.BOUNDS.memory,
        largestMaximum(size => size.residentMb),
      ),
      bounds.compareWithBound(
        bounds.BOUNDS.traffic,
        largestMaximum(size => size.trafficKbPerSecond),
      ),
    ],
  };
}

async function measureFleet(
  options: CostOptions,
  fleet: fleets.DemoFleet,
): Promise<FleetSizeResult> {
  const {clock, seconds, progress} = options;
  await clock.delay(1_000 * options.settleSeconds);
  progress(`measuring ${fleet.hosts.length} daemons for ${seconds} s`);
  // The byte counters are read outside the CPU measurement interval, because
  // serving /metrics uses CPU time in the daemon.
  const bytesBefore = await readPeerByteCounters(fleet, clock);
  const startMs = clock.monotonicMs();
  const before = fleetSession.daemonUsages(fleet);
  const changes = await publishRevisions(options, fleet);
  const after = fleetSession.daemonUsages(fleet);
  const elapsedSeconds = (clock.monotonicMs() - startMs) / 1_000;
  const bytesAfter = await readPeerByteCounters(fleet, clock);
  const rates = bytesAfter.map(({sent, received, atMs}, index) => {
    const first = bytesBefore[index]!;
    // Bytes per millisecond are KB per second.
    const durationMs = atMs - first.atMs;
    return {
      sent: (sent - first.sent) / durationMs,
      received: (received - first.received) / durationMs,
    };
  });
  return {
    hosts: fleet.hosts.length,
    cpuPercent: medianAndMaximum(
      after.map(
        ({cpuSeconds}, index) =>
          (100 * (cpuSeconds - before[index]!.cpuSeconds)) / elapsedSeconds,
      ),
    ),
    residentMb: medianAndMaximum(
      after.map(({residentBytes}) => residentBytes / 1e6),
    ),
    sentKbPerSecond: medianAndMaximum(rates.map(({sent}) => sent)),
    receivedKbPerSecond: medianAndMaximum(rates.map(({received}) => received)),
    trafficKbPerSecond: medianAndMaximum(
      rates.map(({sent, received}) => sent + received),
    ),
    changes,
    lowestRevision: await readLowestRevision(fleet),
    loadAverage: os.loadavg(),
  };
}

/**
 * Publishes revisions at the configured rate for the whole measurement and
 * returns their number.
 */
async function publishRevisions(
  {clock, seconds, changesPerSecond}: CostOptions,
  fleet: fleets.DemoFleet,
): Promise<number> {
  const startMs = clock.monotonicMs();
  const total = Math.floor(seconds * changesPerSecond);
  const waitUntil = (ms: number) =>
    clock.delay(Math.max(0, startMs + ms - clock.monotonicMs()));
  for (let change = 0; change < total; change++) {
    await waitUntil((1_000 * change) / changesPerSecond);
    // Revision 1 has been in force since the start of the fleet.
    await fleet.publishDocument(documents.singleServiceDocument(change + 2));
  }
  await waitUntil(1_000 * seconds);
  return total;
}

/**
 * Returns the lowest revision in force, which shows whether the daemons have
 * adopted the published revisions; null when a daemon has none.
 */
async function readLowestRevision(
  fleet: fleets.DemoFleet,
): Promise<number | null> {
  const results = await Promise.all(
    fleet.hosts.map(({operatorPort}) =>
      daemonClient.fetchStatus(`127.0.0.1:${operatorPort}`, STATUS_TIMEOUT_MS),
    ),
  );
  const revisions = results.map(result =>
    result.ok ? result.status.revision : null,
  );
  return revisions.includes(null) ? null : Math.min(...revisions.map(Number));
}

interface PeerByteCounters {
  readonly sent: number;
  readonly received: number;
  readonly atMs: number;
}

function readPeerByteCounters(
  fleet: fleets.DemoFleet,
  clock: runtime.Clock,
): Promise<PeerByteCounters[]> {
  return Promise.all(
    fleet.hosts.map(async ({operatorPort, entry}) => {
      const response = await fetch(`http://127.0.0.1:${operatorPort}/metrics`);
      const text = await response.text();
      if (!response.ok || !text.includes(SENT_BYTES_METRIC)) {
        throw new runtime.ProtocolError(
          `The metrics of ${entry.hostId} have no ${SENT_BYTES_METRIC}; build all packages and start again.`,
        );
      }
      return {
        sent: statistics.sumMetric(text, SENT_BYTES_METRIC),
        received: statistics.sumMetric(text, RECEIVED_BYTES_METRIC),
        atMs: clock.monotonicMs(),
      };
    }),
  );
}

function medianAndMaximum(values: readonly number[]): MedianAndMaximum {
  return {median: statistics.median(values), maximum: Math.max(...values)};
}

/** Formats the report as text tables. */
export function renderCost(report: CostReport): string {
  const formatPair = ({median, maximum}: MedianAndMaximum) => [
    median.toFixed(2),
    maximum.toFixed(2),
  ];
  const sizes = output.formatTable([
    [
      'hosts',
      'CPU % median',
      'maximum',
      'memory MB median',
      'maximum',
      'sent KB/s median',
      'maximum',
      'received KB/s median',
      'maximum',
      'changes',
      'lowest revision',
      'load average',
    ],
    ...report.sizes.map(size => [
      size.hosts,
      ...formatPair(size.cpuPercent),
      ...formatPair(size.residentMb),
      ...formatPair(size.sentKbPerSecond),
      ...formatPair(size.receivedKbPerSecond),
      size.changes,
      size.lowestRevision,
      size.loadAverage[0]!.toFixed(1),
    ]),
  ]);
  const fits = output.formatTable([
    ['median per daemon', 'slope per peer', 'intercept'],
    ...Object.entries(report.fits).map(([name, line]) => [
      name,
      line && line.slope.toFixed(4),
      line && line.intercept.toFixed(3),
    ]),
  ]);
  const verdicts = output.formatTable(bounds.verdictRows(report.verdicts));
  return (
    `seed ${report.seed}, ${report.seconds} s for each size after ${report.settleSeconds} s, ` +
    `${report.changesPerSecond} changes/s, ${report.processors} processors\n\n` +
    `${sizes}\n${fits}\n${verdicts}`
  );
}
