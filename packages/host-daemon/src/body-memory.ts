import * as transport from '@camphorwharf/transport';
import * as clientMemory from './client-memory.js';

/**
 * Part of the process's memory for bodies that are being received: from the
 * backend server, from clients and from peers.
 */
const RECEIVING_RATIO = 0.2;

/**
 * Part of the process's memory for long responses of the backend server, until
 * another daemon or the client connections have admitted them.
 */
const BACKEND_RESPONSE_RATIO = 0.1;

/**
 * All requests are refused while the responses that wait for their clients hold
 * this multiple of their limit: short ones are not admitted one by one.
 */
const RESPONSE_STOP_FACTOR = 1.5;

/** Reports the overload of this process, from 0 to 1. */
interface ProcessPressure {
  readonly processPressure: number;
}

/** The accounts of a process, as options of the modules that use them. */
export interface ProcessMemory {
  /** Bodies that are being received. */
  readonly received: transport.BodyMemory;
  /** For requests to the local backend server. */
  readonly backend: {
    readonly bodyMemory: transport.BodyMemory;
    readonly responseMemory: transport.ResponseMemory;
  };
  /** For calls to targets. */
  readonly targets: {
    readonly bodyMemory: transport.BodyMemory;
    readonly responseMemory: transport.ResponseMemory;
    readonly backendResponseMemory: transport.ResponseMemory;
  };
  /** For the connections of clients. */
  readonly callers: {
    readonly bodyMemory: transport.BodyMemory;
    readonly clientMemory: clientMemory.ClientMemory;
  };
}

export function createMemory(memoryBytes: number): ProcessMemory {
  const received = new transport.BodyMemory(
    Math.floor(memoryBytes * RECEIVING_RATIO),
  );
  const backendResponses = new transport.ResponseMemory(
    Math.floor(memoryBytes * BACKEND_RESPONSE_RATIO),
  );
  const clients = new clientMemory.ClientMemory(memoryBytes);
  return {
    received,
    backend: {bodyMemory: received, responseMemory: backendResponses},
    targets: {
      bodyMemory: received,
      responseMemory: clients.responses,
      backendResponseMemory: backendResponses,
    },
    callers: {bodyMemory: received, clientMemory: clients},
  };
}

/**
 * Adds the pressure of the memory for responses to that of the process, so that
 * requests are shed before they run. It grows with the responses that wait for
 * memory: memory that is only full delays long responses, and short ones are
 * still served.
 */
export function withMemoryPressure(
  monitor: ProcessPressure,
  {callers}: Pick<ProcessMemory, 'callers'>,
): ProcessPressure {
  const {responses} = callers.clientMemory;
  return {
    get processPressure() {
      const {limitBytes} = responses;
      const responsePressure =
        responses.bytes >= limitBytes * RESPONSE_STOP_FACTOR
          ? 1
          : Math.min(1, responses.bytesWaiting / limitBytes);
      return Math.max(responsePressure, monitor.processPressure);
    },
  };
}
