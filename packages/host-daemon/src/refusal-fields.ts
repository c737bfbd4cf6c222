import type * as runtime from '@camphorwharf/runtime';
import type * as responseBuilder from './response-builder.js';
import * as roundRatio from './round-ratio.js';

/** Returns the fields of a log line that explain why a request was shed. */
export function sheddingFields(
  shedding: responseBuilder.SheddingDecision | undefined,
): runtime.LogFields {
  if (!shedding) return {};
  const {source, saturatedService, pressure, share, priority} = shedding;
  return {
    shedBy: source,
    ...(saturatedService === null ? {} : {saturatedService}),
    pressure: roundRatio.roundRatio(pressure),
    share: roundRatio.roundRatio(share),
    priority,
  };
}

/** Returns the fields of a log line that explain a refusal in a stop. */
export function stopFields(
  stop: responseBuilder.StopDecision | undefined,
): runtime.LogFields {
  if (!stop) return {};
  return {
    requestMs: Math.round(stop.requestMs),
    stopRemainingMs: Math.round(stop.remainingMs),
  };
}
