import * as protocol from '@camphorwharf/protocol';
import * as runtime from '@camphorwharf/runtime';

/** Where a request was refused. */
export const RefusalPlace = {
  /** The daemon at which the request entered. */
  entry: 'entry',
  /** The daemon beside the selected backend server, or the way to it. */
  target: 'target',
  backendServer: 'backendServer',
} as const;
export type RefusalPlaceName = keyof typeof RefusalPlace;

/** How a request ended, unless it was refused. */
export const RequestEnd = {
  /** Answered within the objective of its route, or without an objective. */
  inTime: 'inTime',
  late: 'late',
  /** Failed after a backend server may have begun to work on it. */
  failed: 'failed',
  /** Its client had left. */
  abandoned: 'abandoned',
} as const;
export type RequestEndName = keyof typeof RequestEnd;

/** Bodies that are refused have no reason in the peer protocol. */
export type TalliedReason =
  protocol.RefusalReasonName | 'bodyTooLong' | 'bodyTinyChunks';

const PLACES = Object.keys(RefusalPlace) as readonly RefusalPlaceName[];
const ENDS = Object.keys(RequestEnd) as readonly RequestEndName[];
const REASONS: readonly TalliedReason[] = [
  ...(Object.keys(protocol.RefusalReason) as protocol.RefusalReasonName[]),
  'bodyTooLong',
  'bodyTinyChunks',
];
const REASON_INDEX = Object.fromEntries(
  REASONS.map((reason, index) => [reason, index]),
) as Readonly<Record<TalliedReason, number>>;
const PLACE_INDEX = Object.fromEntries(
  PLACES.map((place, index) => [place, index * REASONS.length]),
) as Readonly<Record<RefusalPlaceName, number>>;

const END_LABELS = ENDS.map(outcome => runtime.formatLabels({outcome}));
/** In the order of the refusals of a tally. */
const REFUSAL_LABELS = PLACES.flatMap(place =>
  REASONS.map(reason =>
    runtime.formatLabels({outcome: 'refused', place, reason}),
  ),
);

/** Counts of the requests of one route or organisation, by how they ended. */
export class RequestTally {
  received = 0;
  private readonly ends: Record<RequestEndName, number> = {
    inTime: 0,
    late: 0,
    failed: 0,
    abandoned: 0,
  };
  /** By place, then reason. */
  private readonly refusals = new Float64Array(REFUSAL_LABELS.length);

  /** `labels` are those of all series of the tally. */
  constructor(readonly labels: string) {}

  noteEnd(end: RequestEndName): void {
    this.ends[end]++;
  }

  noteRefusal(place: RefusalPlaceName, reason: TalliedReason): void {
    this.refusals[PLACE_INDEX[place] + REASON_INDEX[reason]]++;
  }

  /** Adds the series of the requests that have ended, except those that are 0. */
  addEnded(add: runtime.AddSeries): void {
    ENDS.forEach((end, index) => {
      const count = this.ends[end];
      if (count > 0) add(`${this.labels},${END_LABELS[index]}`, count);
    });
    this.refusals.forEach((count, index) => {
      if (count > 0) add(`${this.labels},${REFUSAL_LABELS[index]}`, count);
    });
  }
}
