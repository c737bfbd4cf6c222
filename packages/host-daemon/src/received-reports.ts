import type * as peerReport from './peer-report.js';

/** How a report relates to those that were received before. */
export type ReportOrder =
  | 'newest'
  /**
   * A later report without uses of limits has arrived before, so that only the
   * uses of this one are new.
   */
  | 'overtaken'
  | 'outdated';

interface LastReport {
  readonly incarnation: string;
  /** The process before; a forwarded report of it may still arrive. */
  readonly replacedIncarnation: string | null;
  readonly ageMs: number;
  /** Age of the process at its last report with uses. */
  readonly usesAgeMs: number;
  readonly forwards: boolean;
}

type OrderedReport = Pick<
  peerReport.PeerReport,
  'ageMs' | 'forwards' | 'host' | 'incarnation' | 'uses'
>;

/**
 * The last report that each other host has sent to this one. Reports may arrive
 * in another order: they come over two connections or through forwarders.
 */
export class ReceivedReports {
  private readonly lastReports = new Map<string, LastReport>();

  record(report: OrderedReport): ReportOrder {
    const {ageMs, forwards, host, incarnation} = report;
    const last = this.lastReports.get(host);
    if (last?.replacedIncarnation === incarnation) return 'outdated';
    const same = last?.incarnation === incarnation ? last : null;
    const newestMs = same?.ageMs ?? -Infinity;
    const usesAgeMs = same?.usesAgeMs ?? -Infinity;
    const hasUses = report.uses !== null;
    if (ageMs < (hasUses ? usesAgeMs : newestMs)) return 'outdated';
    this.lastReports.set(host, {
      incarnation,
      replacedIncarnation: same
        ? same.replacedIncarnation
        : (last?.incarnation ?? null),
      ageMs: Math.max(ageMs, newestMs),
      usesAgeMs: hasUses ? ageMs : usesAgeMs,
      forwards,
    });
    return ageMs < newestMs ? 'overtaken' : 'newest';
  }

  /** Whether a host forwards reports in its zone. */
  forwards(host: string): boolean {
    return this.lastReports.get(host)?.forwards ?? false;
  }

  /** Removes the reports of all hosts but these. */
  retain(hosts: ReadonlySet<string>): void {
    for (const host of this.lastReports.keys()) {
      if (!hosts.has(host)) this.lastReports.delete(host);
    }
  }
}
