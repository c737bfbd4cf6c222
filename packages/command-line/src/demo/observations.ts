import type * as standIns from '@camphorwharf/stand-ins';

/** Duration of one time bin, which is one point of the plot. */
export const BIN_MS = 250;

/** Number of requests by outcome in one time bin. */
export interface Bin {
  completed: number;
  refused: number;
  unknown: number;
  other: number;
}

/** Collects outcomes over time across several load runs. */
export class Observations {
  readonly bins: Bin[] = [];
  readonly marks: Array<{readonly atMs: number; readonly text: string}> = [];

  constructor(
    readonly startMs: number,
    private readonly now: () => number,
  ) {}

  addMark(text: string): void {
    this.marks.push({atMs: this.now() - this.startMs, text});
  }

  addSample(sample: standIns.LoadSample): void {
    const bin = this.binAt(this.now());
    switch (sample.outcome.kind) {
      case 'completed':
        bin.completed++;
        break;
      case 'notRun':
        bin.refused++;
        break;
      case 'unknown':
        bin.unknown++;
        break;
      case 'failed':
      case 'transportError':
      case 'wrongAnswer':
        bin.other++;
        break;
    }
  }

  /**
   * Returns the time in milliseconds from `sinceMs` until the completion rate
   * reaches `perSecond`, or null when it does not. The rate is the average of
   * two bins, because arrivals are random.
   */
  recoveryMs(sinceMs: number, perSecond: number): number | null {
    const firstBin = Math.ceil((sinceMs - this.startMs) / BIN_MS);
    const requiredPerBin = (perSecond * BIN_MS) / 1_000;
    // The last bin is skipped, because it covers only part of its duration.
    for (let bin = firstBin; bin < this.bins.length - 2; bin++) {
      const completedInPair =
        this.bins[bin].completed + this.bins[bin + 1].completed;
      if (completedInPair / 2 < requiredPerBin) continue;
      return Math.round(Math.max(0, this.startMs + bin * BIN_MS - sinceMs));
    }
    return null;
  }

  private binAt(nowMs: number): Bin {
    const index = Math.floor((nowMs - this.startMs) / BIN_MS);
    while (this.bins.length <= index) {
      this.bins.push({completed: 0, refused: 0, unknown: 0, other: 0});
    }
    return this.bins[index];
  }
}

const WIDTH = 960;
const HEIGHT = 320;
const MARGIN = 40;

const SERIES = [
  {name: 'completed', colour: '#2a7a3b'},
  {name: 'refused', colour: '#b36b00'},
  {name: 'unknown', colour: '#8a2be2'},
  {name: 'other', colour: '#c1121f'},
] as const;

/** Renders the outcomes per second over time as an SVG document. */
export function renderPlot(observations: Observations): string {
  const {bins, marks} = observations;
  const perSecond = 1_000 / BIN_MS;
  const maximumPerSecond = Math.max(
    1,
    ...bins.flatMap(bin => SERIES.map(({name}) => bin[name] * perSecond)),
  );
  const toX = (atMs: number) =>
    MARGIN + ((WIDTH - 2 * MARGIN) * atMs) / Math.max(1, bins.length * BIN_MS);
  const toY = (value: number) =>
    HEIGHT - MARGIN - ((HEIGHT - 2 * MARGIN) * value) / maximumPerSecond;
  const lines = SERIES.map(({name, colour}, seriesIndex) => {
    const points = bins
      .map(
        (bin, index) =>
          `${toX(index * BIN_MS).toFixed(1)},` +
          `${toY(bin[name] * perSecond).toFixed(1)}`,
      )
      .join(' ');
    return (
      `<polyline fill="none" stroke="${colour}" points="${points}"/>` +
      `<text x="${MARGIN + seriesIndex * 110}" y="${HEIGHT - 8}" fill="${colour}">` +
      `${name}/s</text>`
    );
  });
  const labels = marks.map(({atMs, text}, index) => {
    const x = toX(atMs).toFixed(1);
    const y = 12 + (index % 3) * 12;
    return (
      `<line x1="${x}" x2="${x}" y1="${MARGIN}" y2="${HEIGHT - MARGIN}" ` +
      `stroke="#999" stroke-dasharray="3"/><text x="${x}" y="${y}">${text}</text>`
    );
  });
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-size="11" font-family="sans-serif">` +
    `<rect width="100%" height="100%" fill="#fff"/>` +
    `<text x="4" y="${MARGIN}">${maximumPerSecond.toFixed(0)}</text>` +
    `${lines.join('')}${labels.join('')}</svg>\n`
  );
}
