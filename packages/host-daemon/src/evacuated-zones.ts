import type * as runtime from '@camphorwharf/runtime';
import type * as changeOrigin from './change-origin.js';
import * as evacuationAges from './evacuation-ages.js';
import type * as publishedState from './published-state.js';
import type * as stateReports from './state-reports.js';
import * as versionedItems from './versioned-items.js';

/** The evacuation of a zone, with the message that reported it. */
export interface ZoneEvacuation {
  /**
   * Monotonic time at which this process, or a peer that has reported so,
   * learned of it; -Infinity if it was in force before this process started.
   */
  readonly sinceMs: number;
  /** The same; finite in each case. */
  readonly learnedMs: number;
  readonly era: number;
  readonly revision: number;
  readonly source: stateReports.ChangeSource;
  /**
   * Whether the store has lost the evacuation in a restore. It stays in force
   * until `removeMissing`, because it may be written again.
   */
  readonly isMissing: boolean;
}

/**
 * Maximum number of evacuations whose reported ages are kept before this
 * process learns of them.
 */
const MAXIMUM_REPORTED = 64;

/**
 * An age that is longer by less than this changes nothing: reports are delayed
 * by different times.
 */
const AGE_TOLERANCE_MS = 50;

/** When a peer learned of an evacuation, by the clock of this process. */
interface ReportedStart {
  readonly era: number;
  readonly revision: number;
  readonly learnedMs: number;
}

/** The availability zones that get no requests. */
export class EvacuatedZones {
  readonly items = new versionedItems.VersionedItems();
  private hasList = false;
  private readonly evacuations = new Map<string, ZoneEvacuation>();
  /** By zone; of evacuations that this process may not have learned of. */
  private readonly reportedStarts = new Map<string, ReportedStart>();

  constructor(private readonly logger: Pick<runtime.Logger, 'info'>) {}

  get zones(): ReadonlySet<string> {
    return new Set(this.evacuations.keys());
  }

  /** Whether a whole list has been received. */
  get isKnown(): boolean {
    return this.hasList;
  }

  get(zone: string): ZoneEvacuation | null {
    return this.evacuations.get(zone) ?? null;
  }

  /**
   * Applies changes that `items` has accepted as new. `isWhole` means that they
   * come from a whole list. Evacuations of the first one are taken as in force,
   * since this process cannot know for how long they have been.
   */
  apply(
    changes: readonly publishedState.ItemChange[],
    origin: changeOrigin.ChangeOrigin,
    isWhole: boolean,
  ): void {
    for (const change of changes) this.applyChange(change, origin);
    if (isWhole) this.hasList = true;
  }

  /** The ages of the evacuations in force, for reports to peers. */
  ages(nowMs: number): evacuationAges.EvacuationAge[] {
    const ages: evacuationAges.EvacuationAge[] = [];
    for (const [zone, {learnedMs, revision}] of this.evacuations) {
      const ageMs = Math.min(
        Math.max(0, Math.floor(nowMs - learnedMs)),
        evacuationAges.MAXIMUM_AGE_MS,
      );
      ages.push({zone, revision, ageMs});
    }
    return ages;
  }

  /**
   * Applies the ages that a peer reports. They can only move the beginning of
   * an evacuation back. Returns whether one has changed.
   */
  applyAges(
    ages: readonly evacuationAges.EvacuationAge[],
    era: number,
    nowMs: number,
  ): boolean {
    let hasChanged = false;
    for (const {ageMs, revision, zone} of ages) {
      const boundedMs = Math.min(ageMs, evacuationAges.MAXIMUM_AGE_MS);
      const reported = {era, revision, learnedMs: nowMs - boundedMs};
      const known = this.evacuations.get(zone);
      if (known?.era !== era || known.revision !== revision) {
        this.keepReported(zone, reported);
        continue;
      }
      const {learnedMs} = reported;
      if (learnedMs > known.learnedMs - AGE_TOLERANCE_MS) continue;
      const sinceMs = Math.min(known.sinceMs, learnedMs);
      this.evacuations.set(zone, {...known, learnedMs, sinceMs});
      hasChanged = true;
    }
    return hasChanged;
  }

  /** Ends the evacuations that have not been written again. */
  removeMissing(): boolean {
    const missing = [...this.evacuations].filter(
      ([, {isMissing}]) => isMissing,
    );
    for (const [zone, evacuation] of missing) {
      this.evacuations.delete(zone);
      this.log('zone-evacuation-expired', zone, evacuation);
    }
    return missing.length > 0;
  }

  private applyChange(
    {key, text, revision, isLapsed = false}: publishedState.ItemChange,
    {era, source, nowMs}: changeOrigin.ChangeOrigin,
  ): void {
    const known = this.evacuations.get(key);
    const position = {era, revision, source};
    if (text !== null) {
      const learnedMs =
        known?.learnedMs ??
        Math.min(nowMs, this.reportedStartMs(key, era, revision));
      const sinceMs = known?.sinceMs ?? (this.hasList ? learnedMs : -Infinity);
      const begun = {learnedMs, sinceMs, isMissing: false};
      this.evacuations.set(key, {...position, ...begun});
      if (!known || known.isMissing) this.log('zone-evacuated', key, position);
      return;
    }
    if (!known) return;
    if (isLapsed) {
      this.evacuations.set(key, {...known, ...position, isMissing: true});
      this.log('zone-evacuation-missing', key, position);
      return;
    }
    this.evacuations.delete(key);
    this.log('zone-returned', key, position);
  }

  /**
   * Keeps a report until this process learns of the evacuation. Of several of a
   * zone, the newest era and revision is kept, with the earliest start.
   */
  private keepReported(zone: string, reported: ReportedStart): void {
    const {reportedStarts} = this;
    const {era, revision} = reported;
    const kept = reportedStarts.get(zone);
    if (kept) {
      const difference = era - kept.era || revision - kept.revision;
      if (difference < 0) return;
      if (difference === 0 && reported.learnedMs >= kept.learnedMs) return;
    }
    if (!reportedStarts.has(zone) && reportedStarts.size >= MAXIMUM_REPORTED) {
      reportedStarts.clear();
    }
    reportedStarts.set(zone, reported);
  }

  /** Infinity if no peer has reported this evacuation. */
  private reportedStartMs(zone: string, era: number, revision: number): number {
    const reported = this.reportedStarts.get(zone);
    return reported?.era === era && reported.revision === revision
      ? reported.learnedMs
      : Infinity;
  }

  private log(
    event: string,
    zone: string,
    {
      era,
      revision,
      source,
    }: Pick<ZoneEvacuation, 'era' | 'revision' | 'source'>,
  ): void {
    this.logger.info(event, {zone, era, revision, source});
  }
}
