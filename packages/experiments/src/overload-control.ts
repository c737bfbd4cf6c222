/** The overload controls that are compared. */
export const CONTROLS = ['camphorwharf', 'no control', 'per hop'] as const;
export type OverloadControl = (typeof CONTROLS)[number];
