/**
 * An organisation is cut once its estimated demand exceeds its share by this
 * factor, and in full from the second one. Random arrivals make the estimate
 * of an organisation within its share exceed it for a moment; the fair queue
 * deals with such an excess without refusing the wrong calls.
 */
const EXCESS_TO_CUT = 1.2;
const EXCESS_TO_CUT_FULLY = 1.6;

/** How far an organisation with this excess is cut, from 0 to 1 for full. */
export function cutDegree(excess: number): number {
  if (!(excess > EXCESS_TO_CUT)) return 0;
  return Math.min(
    1,
    (excess - EXCESS_TO_CUT) / (EXCESS_TO_CUT_FULLY - EXCESS_TO_CUT),
  );
}
