import type * as admission from '@camphorwharf/admission';
import type * as protocol from '@camphorwharf/protocol';
import type * as loadObserver from './load-observer.js';
import * as roundedShare from './rounded-share.js';

/** The load of a backend server and its daemon, as senders are told. */
export function reportedLoad(
  slots: Pick<
    admission.SlotAdmission<unknown>,
    'queueLength' | 'runningCount' | 'slotCount'
  >,
  observer: Pick<loadObserver.LoadObserver, 'busyShare' | 'servicePressure'>,
  downstream: Pick<admission.DownstreamPressure, 'highest'>,
  nowMs: number,
): protocol.ReportedLoad {
  const below = downstream.highest(nowMs);
  const pressure = Math.max(observer.servicePressure, below);
  return {
    running: slots.runningCount,
    waiting: slots.queueLength,
    slots: slots.slotCount,
    busyShare: roundedShare.roundedShare(observer.busyShare),
    ...(pressure > 0 ? {pressure: roundedShare.roundedShare(pressure)} : {}),
    ...(below > 0
      ? {downstreamPressure: roundedShare.roundedShare(below)}
      : {}),
  };
}
