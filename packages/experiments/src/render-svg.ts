import * as measures from './measures.js';
import type * as runExperiment from './run-experiment.js';

const WIDTH = 800;
const HEIGHT = 320;
const MARGIN = 48;
const COLOURS = ['#1b7837', '#b2182b', '#2166ac'];

/** Top of the vertical axis, as a multiple of the bottleneck's capacity. */
const MAXIMUM_SHARE = 1.5;

/** Points of the time series averaged into one point of the plot. */
const SAMPLES_PER_POINT = 5;

/** Plots completed calls over time, as a share of the bottleneck's capacity. */
export function renderSvg(report: runExperiment.ExperimentReport): string {
  const points = report.controls[0]?.series ?? [];
  const endMs = points.length * measures.SERIES_INTERVAL_MS;
  const x = (atMs: number) =>
    MARGIN + ((WIDTH - 2 * MARGIN) * atMs) / Math.max(1, endMs);
  const y = (share: number) =>
    HEIGHT -
    MARGIN -
    ((HEIGHT - 2 * MARGIN) * Math.min(share, MAXIMUM_SHARE)) / MAXIMUM_SHARE;
  const capacityPerSample =
    (report.bottleneckPerSecond * measures.SERIES_INTERVAL_MS) / 1_000;
  const line = (
    series: readonly measures.SeriesPoint[],
    valueOf: (point: measures.SeriesPoint) => number,
    style: string,
  ) => {
    const coordinates: string[] = [];
    for (
      let index = 0;
      index + SAMPLES_PER_POINT <= series.length;
      index += SAMPLES_PER_POINT
    ) {
      const slice = series.slice(index, index + SAMPLES_PER_POINT);
      const sum = slice.reduce((total, point) => total + valueOf(point), 0);
      const middleMs =
        slice[0].atMs + (SAMPLES_PER_POINT * measures.SERIES_INTERVAL_MS) / 2;
      const share = sum / SAMPLES_PER_POINT / capacityPerSample;
      coordinates.push(`${x(middleMs).toFixed(1)},${y(share).toFixed(1)}`);
    }
    return `<polyline fill="none" ${style} points="${coordinates.join(' ')}"/>`;
  };
  const text = (left: number, top: number, content: string, style = '') =>
    `<text x="${left.toFixed(1)}" y="${top.toFixed(1)}" ${style}>${escapeXml(content)}</text>`;
  const causeLeft = x(report.causeStartMs);
  const causeWidth = x(report.causeEndMs) - causeLeft;
  const elements = [
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<rect x="${causeLeft.toFixed(1)}" y="${MARGIN}" width="${causeWidth.toFixed(1)}" height="${HEIGHT - 2 * MARGIN}" fill="#eeeeee"/>`,
    text(MARGIN, 20, `${report.name}: ${report.summary}`),
    ...[0, 0.5, 1, MAXIMUM_SHARE].flatMap(share => [
      `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y(share)}" y2="${y(share)}" stroke="#cccccc"/>`,
      text(8, y(share) + 4, `${share * 100}%`),
    ]),
    text(MARGIN, HEIGHT - 28, '0 s'),
    text(WIDTH - MARGIN - 24, HEIGHT - 28, `${endMs / 1_000} s`),
    line(
      points,
      point => point.offered,
      'stroke="#999999" stroke-dasharray="4"',
    ),
    ...report.controls.flatMap((control, index) => [
      line(
        control.series,
        point => point.completed,
        `stroke="${COLOURS[index]}"`,
      ),
      text(
        MARGIN + 120 * index,
        HEIGHT - 8,
        control.control,
        `fill="${COLOURS[index]}"`,
      ),
    ]),
    text(MARGIN + 360, HEIGHT - 8, 'demand (dashed)', 'fill="#999999"'),
  ];
  return (
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" ` +
    `font-family="sans-serif" font-size="12">\n${elements.join('\n')}\n</svg>\n`
  );
}

function escapeXml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
