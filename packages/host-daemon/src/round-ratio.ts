/** Rounds to two digits, which are precise enough and keep frames small. */
export function roundRatio(ratio: number): number {
  return Math.round(ratio * 100) / 100;
}
