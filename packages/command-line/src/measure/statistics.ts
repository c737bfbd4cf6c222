/** A line `value = intercept + slope * x`. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
}

export interface Point {
  readonly x: number;
  readonly value: number;
}

/** Fits a line by least squares; null with fewer than two distinct x. */
export function fitLine(points: readonly Point[]): FittedLine | null {
  const meanX = mean(points.map(({x}) => x));
  const meanValue = mean(points.map(({value}) => value));
  let covariance = 0;
  let variance = 0;
  for (const {x, value} of points) {
    covariance += (x - meanX) * (value - meanValue);
    variance += (x - meanX) ** 2;
  }
  if (!(variance > 0)) return null;
  const slope = covariance / variance;
  return {slope, intercept: meanValue - slope * meanX};
}

export function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Returns the median, or NaN for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length / 2;
  return mean(sorted.slice(Math.ceil(middle) - 1, Math.floor(middle) + 1));
}

/** Sums a metric over all label sets in a Prometheus text exposition. */
export function sumMetric(exposition: string, name: string): number {
  let sum = 0;
  for (const line of exposition.split('\n')) {
    if (!line.startsWith(`${name} `) && !line.startsWith(`${name}{`)) continue;
    sum += Number(line.slice(line.lastIndexOf(' ') + 1));
  }
  return sum;
}
