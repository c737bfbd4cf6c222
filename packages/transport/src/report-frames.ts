import * as protocol from '@camphorwharf/protocol';

type ReportBody = protocol.Report['report'];

const encoded = new WeakMap<ReportBody, Uint8Array>();

/** Encodes a report. Cached, because one report goes to many connections. */
export function encodeReport(report: ReportBody): Uint8Array {
  let frame = encoded.get(report);
  if (!frame) {
    frame = protocol.encodeFrame({kind: 'report', report});
    encoded.set(report, frame);
  }
  return frame;
}
