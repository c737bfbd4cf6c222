import * as members from '../fleet-members.js';
import * as rateLimits from '../fleet-rate-limits.js';

const STEP_MS = 10;
const REPORT_MS = 400;
const SCARCE_REPORT_MS = 150;
const WINDOW_MS = 5_000;

/** The bound that the users state for a window of use. */
export function windowBound(settings: rateLimits.LimitSettings): number {
  const {burst, ratePerSecond} = settings;
  return ((ratePerSecond * WINDOW_MS) / 1_000 + burst) * 1.25 + 20;
}

interface Host {
  name: string;
  incarnation: number;
  startedMs: number;
  fleet: members.FleetMembers;
  limits: rateLimits.FleetRateLimits;
  reportMs: number;
  upFromMs: number;
}

export interface Scenario {
  readonly hosts: number;
  readonly seconds: number;
  readonly settings: (nowMs: number) => rateLimits.LimitSettings;
  /** Requests per second that arrive at a host. */
  readonly demand: (host: number, nowMs: number) => number;
  /** Whether a report from one host reaches another. */
  readonly connected?: (from: number, to: number, nowMs: number) => boolean;
  /** Hosts that are killed at a time and are back after `downMs`. */
  readonly kills?: ReadonlyArray<{
    readonly atMs: number;
    readonly hosts: readonly number[];
    readonly downMs: number;
  }>;
  /** How long a started host takes until its first report. */
  readonly firstReportMs?: number;
  /** Hosts that are listed at a time; the default is all. */
  readonly listed?: (nowMs: number) => number;
}

export interface Outcome {
  /** The most that was granted in any window. */
  readonly mostInWindow: number;
  readonly asked: number;
  readonly granted: number;
  /** Granted from `sinceMs` on. */
  grantedSince(sinceMs: number): number;
  mostInWindowSince(sinceMs: number): number;
}

/** Plays the limits of one organisation on all hosts under virtual time. */
export function simulate(scenario: Scenario): Outcome {
  const start = (index: number, incarnation: number, nowMs: number): Host => {
    const fleet = new members.FleetMembers(`host-${index}`);
    const limits = new rateLimits.FleetRateLimits(fleet, nowMs);
    limits.configure([scenario.settings(nowMs)], nowMs);
    return {
      name: `host-${index}`,
      incarnation,
      startedMs: nowMs,
      fleet,
      limits,
      reportMs:
        nowMs + (scenario.firstReportMs ?? 0) + ((index * 37) % REPORT_MS),
      upFromMs: nowMs,
    };
  };
  const hosts = Array.from({length: scenario.hosts}, (_, index) =>
    start(index, 1, 0),
  );
  const credit = hosts.map((_, index) => (index * 0.37) % 1);
  const grants: number[] = [];
  let asked = 0;
  let settings = scenario.settings(0);
  for (let nowMs = 0; nowMs < scenario.seconds * 1_000; nowMs += STEP_MS) {
    for (const kill of scenario.kills ?? []) {
      if (kill.atMs !== nowMs) continue;
      for (const index of kill.hosts) {
        const next = hosts[index].incarnation + 1;
        hosts[index] = start(index, next, nowMs + kill.downMs);
      }
    }
    const changed = scenario.settings(nowMs);
    const listedCount = scenario.listed?.(nowMs) ?? scenario.hosts;
    const listed = new Set(hosts.slice(0, listedCount).map(host => host.name));
    hosts.forEach((host, index) => {
      if (nowMs < host.upFromMs || index >= listedCount) return;
      if (changed !== settings) host.limits.configure([changed], nowMs);
      if (nowMs % 500 === 0 || nowMs === host.upFromMs) {
        host.fleet.setListed(listed, nowMs);
        host.limits.tick(nowMs);
      }
      credit[index] += (scenario.demand(index, nowMs) * STEP_MS) / 1_000;
      while (credit[index] >= 1) {
        credit[index] -= 1;
        asked++;
        const verdict = host.limits.take(changed.name, nowMs);
        if (verdict.kind === 'granted') grants.push(nowMs);
      }
      if (nowMs < host.reportMs) return;
      host.reportMs =
        nowMs + (host.limits.isScarce ? SCARCE_REPORT_MS : REPORT_MS);
      const report = host.limits.report(nowMs);
      hosts.forEach((other, otherIndex) => {
        if (otherIndex === index || nowMs < other.upFromMs) return;
        if (scenario.connected?.(index, otherIndex, nowMs) === false) return;
        other.limits.learn(
          host.name,
          `start-${host.incarnation}`,
          nowMs - host.startedMs,
          report,
          nowMs,
        );
      });
    });
    settings = changed;
  }
  return {
    mostInWindow: mostInWindow(grants, 0),
    asked,
    granted: grants.length,
    grantedSince: sinceMs => grants.filter(atMs => atMs >= sinceMs).length,
    mostInWindowSince: sinceMs => mostInWindow(grants, sinceMs),
  };
}

function mostInWindow(grants: readonly number[], sinceMs: number): number {
  let most = 0;
  let first = 0;
  const counted = grants.filter(atMs => atMs >= sinceMs);
  counted.forEach((atMs, index) => {
    while (atMs - counted[first] >= WINDOW_MS) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}
