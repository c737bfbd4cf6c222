import * as runtime from '@camphorwharf/runtime';
import * as os from 'node:os';
import type * as fleets from '../demo/fleet.js';
import * as daemonClient from '../daemon-client.js';
import * as output from '../output.js';
import * as bounds from './bounds.js';
import * as documents from './documents.js';
import * as fleetSession from './fleet-session.js';
import * as statistics from './statistics.js';

const STATUS_LIMIT_MS = 3_000;

const SENT = 'camphorwharf_peer_bytes_sent_total';
const RECEIVED = 'camphorwharf_peer_bytes_received_total';

export interface CostOptions {
  /** Numbers of hosts, measured one after the other. */
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

/** A quantity over the daemons of a fleet. */
export interface Spread {
  readonly median: number;
  readonly maximum: number;
}

/** Control cost of the daemons of one fleet without calls. */
export interface SizeResult {
  readonly hosts: number;
  readonly cpuPercent: Spread;
  readonly residentMb: Spread;
  readonly sentKbPerSecond: Spread;
  readonly receivedKbPerSecond: Spread;
  /** Sent and received together. */
  readonly trafficKbPerSecond: Spread;
  /** Revisions published in the measurement. */
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
  readonly sizes: readonly SizeResult[];
  /** Lines through the medians against peers; null with one size only. */
  readonly fits: Readonly<Record<string, statistics.FittedLine | null>>;
  /** The largest maximum over the measured sizes against each bound. */
  readonly verdicts: readonly bounds.Verdict[];
}

/** Measures fleets of each size, one after the other. */
export async function measureCost(options: CostOptions): Promise<CostReport> {
  const sizes: SizeResult[] = [];
  for (const size of options.sizes) {
    options.progress(`fleet of ${size} hosts`);
    sizes.push(
      await fleetSession.withFleet(
        {
          ...options,
          deployment: documents.singleService(size),
          document: documents.singleServiceDocument(1),
          sharedBackendServer: true,
        },
        fleet => measureFleet(options, fleet),
      ),
    );
  }
  const fit = (read: (size: SizeResult) => Spread) =>
    statistics.fitLine(
      sizes.map(size => ({x: size.hosts - 1, value: read(size).median})),
    );
  const largest = (read: (size: SizeResult) => Spread) =>
    Math.max(...sizes.map(size => read(size).maximum));
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
      bounds.judge(
        bounds.BOUNDS.cpu,
        largest(size => size.cpuPercent),
      ),
      bounds.judge(
        bounds.BOUNDS.memory,
        largest(size => size.residentMb),
      ),
      bounds.judge(
        bounds.BOUNDS.traffic,
        largest(size => size.trafficKbPerSecond),
      ),
    ],
  };
}

async function measureFleet(
  options: CostOptions,
  fleet: fleets.DemoFleet,
): Promise<SizeResult> {
  const {clock, seconds, progress} = options;
  await clock.delay(1_000 * options.settleSeconds);
  progress(`measuring ${fleet.hosts.length} daemons for ${seconds} s`);
  // The byte counters are read outside the interval of the CPU times, because
  // reading them costs CPU time in the daemon.
  const bytesBefore = await readBytes(fleet, clock);
  const startMs = clock.monotonicMs();
  const before = fleetSession.daemonUsages(fleet);
  const changes = await publishChanges(options, fleet);
  const after = fleetSession.daemonUsages(fleet);
  const elapsedSeconds = (clock.monotonicMs() - startMs) / 1_000;
  const bytesAfter = await readBytes(fleet, clock);
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
    cpuPercent: spread(
      after.map(
        ({cpuSeconds}, index) =>
          (100 * (cpuSeconds - before[index]!.cpuSeconds)) / elapsedSeconds,
      ),
    ),
    residentMb: spread(after.map(({residentBytes}) => residentBytes / 1e6)),
    sentKbPerSecond: spread(rates.map(({sent}) => sent)),
    receivedKbPerSecond: spread(rates.map(({received}) => received)),
    trafficKbPerSecond: spread(
      rates.map(({sent, received}) => sent + received),
    ),
    changes,
    lowestRevision: await lowestRevision(fleet),
    loadAverage: os.loadavg(),
  };
}

/** Takes the whole duration; returns the number of published revisions. */
async function publishChanges(
  {clock, seconds, changesPerSecond}: CostOptions,
  fleet: fleets.DemoFleet,
): Promise<number> {
  const startMs = clock.monotonicMs();
  const total = Math.floor(seconds * changesPerSecond);
  const waitUntil = (ms: number) =>
    clock.delay(Math.max(0, startMs + ms - clock.monotonicMs()));
  for (let change = 0; change < total; change++) {
    await waitUntil((1_000 * change) / changesPerSecond);
    // Revision 1 is in force since the start.
    await fleet.publishDocument(documents.singleServiceDocument(change + 2));
  }
  await waitUntil(1_000 * seconds);
  return total;
}

/** Shows that the daemons have adopted the changes and not rejected them. */
async function lowestRevision(fleet: fleets.DemoFleet): Promise<number | null> {
  const answers = await Promise.all(
    fleet.hosts.map(({operatorPort}) =>
      daemonClient.fetchStatus(`127.0.0.1:${operatorPort}`, STATUS_LIMIT_MS),
    ),
  );
  const revisions = answers.map(answer =>
    answer.ok ? answer.status.revision : null,
  );
  return revisions.includes(null) ? null : Math.min(...revisions.map(Number));
}

interface PeerBytes {
  readonly sent: number;
  readonly received: number;
  readonly atMs: number;
}

function readBytes(
  fleet: fleets.DemoFleet,
  clock: runtime.Clock,
): Promise<PeerBytes[]> {
  return Promise.all(
    fleet.hosts.map(async ({operatorPort, entry}) => {
      const answer = await fetch(`http://127.0.0.1:${operatorPort}/metrics`);
      const text = await answer.text();
      if (!answer.ok || !text.includes(SENT)) {
        throw new runtime.ProtocolError(
          `The metrics of ${entry.hostId} have no ${SENT}; build all packages and start again.`,
        );
      }
      return {
        sent: statistics.sumMetric(text, SENT),
        received: statistics.sumMetric(text, RECEIVED),
        atMs: clock.monotonicMs(),
      };
    }),
  );
}

function spread(values: readonly number[]): Spread {
  return {median: statistics.median(values), maximum: Math.max(...values)};
}

/** Renders the report as plain tables. */
export function renderCost(report: CostReport): string {
  const pair = ({median, maximum}: Spread) => [
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
      ...pair(size.cpuPercent),
      ...pair(size.residentMb),
      ...pair(size.sentKbPerSecond),
      ...pair(size.receivedKbPerSecond),
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
