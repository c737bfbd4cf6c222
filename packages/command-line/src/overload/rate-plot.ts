import type * as snapshots from './snapshot.js';

const WIDTH = 800;
const PANEL_HEIGHT = 240;
const MARGIN = 56;

/** Requests of clients by outcome, the lowest band first. */
const BANDS = [
  {name: 'in time', outcome: 'inTime', colour: '#1b7837'},
  {name: 'late', outcome: 'late', colour: '#a6dba0'},
  {name: 'refused', outcome: 'refused', colour: '#2166ac'},
  {name: 'failed', outcome: 'failed', colour: '#b2182b'},
  {name: 'abandoned', outcome: 'abandoned', colour: '#999999'},
] as const;

const SLOT_BANDS = [
  {name: 'useful slots', colour: '#1b7837'},
  {name: 'wasted slots', colour: '#b2182b'},
] as const;

/** Requests of clients by outcome, and slots in use. */
export type PlotRates = Record<
  (typeof BANDS)[number]['outcome'] | 'used' | 'wasted',
  number
>;

/** The plotted rates at one time. */
export interface PlotPoint {
  readonly atSeconds: number;
  readonly perSecond: Readonly<PlotRates>;
}

/** Adds up what is plotted of the increase of counters in some seconds. */
export function plotRates(
  increase: snapshots.Snapshot,
  seconds: number,
): PlotRates {
  const rates = emptyRates();
  for (const {labels, name, value} of increase.values()) {
    const rate = value / seconds;
    if (name === 'slot_seconds_used_total') rates.used += rate;
    else if (name === 'slot_seconds_wasted_total') rates.wasted += rate;
    else if (
      name === 'route_requests_ended_total' &&
      labels.nested === 'false'
    ) {
      const band = BANDS.find(({outcome}) => outcome === labels.outcome);
      if (band) rates[band.outcome] += rate;
    }
  }
  return rates;
}

export function emptyRates(): PlotRates {
  return {
    inTime: 0,
    late: 0,
    refused: 0,
    failed: 0,
    abandoned: 0,
    used: 0,
    wasted: 0,
  };
}

export function addRates(sum: PlotRates, added: Readonly<PlotRates>): void {
  for (const name of Object.keys(sum) as Array<keyof PlotRates>) {
    sum[name] += added[name];
  }
}

interface Band {
  readonly name: string;
  readonly colour: string;
  readonly values: readonly number[];
}

/**
 * Plots requests of clients per second by outcome, and the slots that are in
 * use, over time.
 */
export function renderPlot(points: readonly PlotPoint[]): string {
  const times = points.map(({atSeconds}) => atSeconds);
  const requests = BANDS.map(({colour, name, outcome}) => ({
    name,
    colour,
    values: points.map(({perSecond}) => perSecond[outcome]),
  }));
  const wasted = points.map(({perSecond}) => perSecond.wasted);
  const useful = points.map(({perSecond}) => perSecond.used - perSecond.wasted);
  const slots = SLOT_BANDS.map((band, index) => ({
    ...band,
    values: index === 0 ? useful : wasted,
  }));
  const panels = [
    renderPanel(0, 'requests of clients per second', times, requests),
    ...(useful.some(value => value > 0)
      ? [renderPanel(PANEL_HEIGHT, 'slots in use', times, slots)]
      : []),
  ];
  const height = panels.length * PANEL_HEIGHT;
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" ` +
    `font-family="sans-serif" font-size="12">\n` +
    `<rect width="${WIDTH}" height="${height}" fill="white"/>\n` +
    `${panels.join('\n')}\n</svg>\n`
  );
}

/** Renders bands on top of each other; `top` is the top of the panel. */
function renderPanel(
  top: number,
  title: string,
  times: readonly number[],
  bands: readonly Band[],
): string {
  const firstSeconds = times[0] ?? 0;
  const lastSeconds = times.at(-1) ?? 0;
  const totals = times.map((_time, index) =>
    bands.reduce((total, {values}) => total + values[index], 0),
  );
  const maximum = totals.reduce((most, total) => Math.max(most, total), 1);
  const x = (seconds: number) =>
    MARGIN +
    ((WIDTH - 2 * MARGIN) * (seconds - firstSeconds)) /
      Math.max(1e-3, lastSeconds - firstSeconds);
  const bottom = top + PANEL_HEIGHT - MARGIN;
  const y = (value: number) =>
    bottom - ((PANEL_HEIGHT - 2 * MARGIN) * value) / maximum;
  const point = (index: number, value: number) =>
    `${x(times[index]).toFixed(1)},${y(value).toFixed(1)}`;
  const elements = [text(MARGIN, top + 20, title)];
  let lower = times.map(() => 0);
  bands.forEach(({colour, name, values}, position) => {
    const upper = lower.map((value, index) => value + values[index]);
    const outline = [
      ...upper.map((value, index) => point(index, value)),
      ...lower.map((value, index) => point(index, value)).reverse(),
    ];
    elements.push(
      `<polygon fill="${colour}" points="${outline.join(' ')}"/>`,
      text(MARGIN + 110 * position, bottom + 36, name, colour),
    );
    lower = upper;
  });
  for (const value of [0, maximum / 2, maximum]) {
    elements.push(
      `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y(value)}" y2="${y(value)}" stroke="#cccccc"/>`,
      text(4, y(value) + 4, value.toFixed(maximum < 10 ? 1 : 0)),
    );
  }
  elements.push(
    text(MARGIN, bottom + 18, `${firstSeconds.toFixed(0)} s`),
    text(WIDTH - MARGIN - 24, bottom + 18, `${lastSeconds.toFixed(0)} s`),
  );
  return elements.join('\n');
}

/** `content` has no characters with a meaning in XML. */
function text(
  left: number,
  top: number,
  content: string,
  colour = 'black',
): string {
  return `<text x="${left}" y="${top.toFixed(1)}" fill="${colour}">${content}</text>`;
}
