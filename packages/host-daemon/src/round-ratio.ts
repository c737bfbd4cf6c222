/** Two digits are enough for a share, and take less room in a frame. */
export function roundRatio(ratio: number): number {
  return Math.round(ratio * 100) / 100;
}
