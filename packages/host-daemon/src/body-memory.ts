import * as transport from '@camphorwharf/transport';

/**
 * Part of the process's memory for bodies that are being received: from the
 * backend server, from clients and from peers.
 */
const RECEIVING_RATIO = 0.2;

/**
 * Part of the process's memory for responses that clients have not read yet.
 * Beyond it, new requests are shed.
 */
const SENDING_RATIO = 0.2;

/** Reports the overload of this process, from 0 to 1. */
interface ProcessPressure {
  readonly processPressure: number;
}

/** Bounds on the bodies that a process holds. */
export interface BodyLimits {
  /** Memory of the bodies that are being received. */
  readonly received: transport.BodyMemory;
  /** Limit of the responses that clients have not read yet, in bytes. */
  readonly sendingBytes: number;
}

export function bodyLimits(memoryBytes: number): BodyLimits {
  return {
    received: new transport.BodyMemory(
      Math.floor(memoryBytes * RECEIVING_RATIO),
    ),
    sendingBytes: Math.floor(memoryBytes * SENDING_RATIO),
  };
}

/**
 * Adds the pressure of a full memory to that of the process, so that requests
 * are shed before they run.
 */
export function withMemoryPressure(
  monitor: ProcessPressure,
  isFull: () => boolean,
): ProcessPressure {
  return {
    get processPressure() {
      return isFull() ? 1 : monitor.processPressure;
    },
  };
}
