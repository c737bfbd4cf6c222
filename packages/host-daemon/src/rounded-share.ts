/** Two digits are enough for a share, and take less room in a frame. */
export function roundedShare(share: number): number {
  return Math.round(share * 100) / 100;
}
