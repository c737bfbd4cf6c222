/**
 * Ratios of estimated demand to fair share at which shedding of an organisation
 * starts and is fully applied. With random arrivals, the estimate of an
 * organisation within its share may exceed it briefly; the fair queue absorbs
 * such an excess without refusing the wrong calls.
 */
const SHEDDING_START_RATIO = 1.2;
const FULL_SHEDDING_RATIO = 1.6;

/**
 * Returns the degree to which an organisation is shed at a demand ratio: 0
 * sheds nothing, and 1 sheds everything beyond its share.
 */
export function sheddingDegree(demandRatio: number): number {
  if (!(demandRatio > SHEDDING_START_RATIO)) return 0;
  return Math.min(
    1,
    (demandRatio - SHEDDING_START_RATIO) /
      (FULL_SHEDDING_RATIO - SHEDDING_START_RATIO),
  );
}
