/** Size and behaviour of a service in a demo deployment. */
export interface DemoService {
  readonly name: string;
  readonly hostCount: number;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly serviceTimeMs: number;
  /** Calls that each request makes through the daemon of its host. */
  readonly downstream: ReadonlyArray<{
    readonly service: string;
    readonly method: string;
    readonly path: string;
  }>;
}

/** A kind of request in the generated load. */
export interface DemoRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly weight: number;
  readonly importance: 0 | 1 | 2 | 3;
  readonly nonIdempotent?: boolean;
}

/** A deployment and its load, which must be small enough for one machine. */
export interface DemoDeployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly services: readonly DemoService[];
  readonly requests: readonly DemoRequest[];
  readonly requestsPerSecond: number;
  /** The service that the demo slows down. */
  readonly slowService: string;
  /** Factor by which the service time of `slowService` increases. */
  readonly slowFactor: number;
}

const teranga: DemoDeployment = {
  name: 'teranga',
  region: 'senegal-west',
  availabilityZones: ['dakar', 'thies', 'kaolack'],
  services: [
    defineService('catalogue', 5, 35, 300, 10),
    defineService('workshop', 3, 50, 400, 15, [['catalogue', '/parts/filter']]),
    defineService('warranty', 3, 50, 400, 100, [['catalogue', '/parts/pump']]),
    defineService('billing', 3, 15, 200, 20),
  ],
  requests: [
    readRequest('catalogue', '/parts/belt', 40),
    readRequest('catalogue', '/public/models', 5, 3),
    writeRequest('workshop', '/bookings', 15, 0),
    readRequest('warranty', '/claims', 20),
    writeRequest('warranty', '/claims', 10, 1),
    writeRequest('billing', '/invoices', 10, 0),
  ],
  requestsPerSecond: 300,
  slowService: 'warranty',
  slowFactor: 20,
};

const sahab: DemoDeployment = {
  name: 'sahab',
  region: 'jordan',
  availabilityZones: ['amman-a', 'amman-b', 'zarqa-c'],
  services: [
    defineService('catalogue', 6, 100, 700, 10),
    defineService('bookings', 4, 150, 1_000, 15, [
      ['catalogue', '/units/cabin'],
    ]),
    defineService('dispatch', 3, 200, 1_300, 150, [
      ['catalogue', '/units/truck'],
    ]),
    defineService('billing', 3, 20, 250, 20),
  ],
  requests: [
    readRequest('catalogue', '/units/cabin', 45),
    writeRequest('bookings', '/reservations', 20, 0),
    readRequest('dispatch', '/trips', 15),
    writeRequest('dispatch', '/trips', 10, 1),
    writeRequest('billing', '/invoices', 10, 0),
  ],
  requestsPerSecond: 300,
  slowService: 'dispatch',
  slowFactor: 50,
};

/** Demo deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, DemoDeployment>> = {
  teranga,
  sahab,
};

function defineService(
  name: string,
  hostCount: number,
  slots: number,
  connectionLimit: number,
  serviceTimeMs: number,
  downstream: ReadonlyArray<readonly [string, string]> = [],
): DemoService {
  return {
    name,
    hostCount,
    slots,
    connectionLimit,
    serviceTimeMs,
    downstream: downstream.map(([callee, path]) => ({
      service: callee,
      method: 'GET',
      path,
    })),
  };
}

function readRequest(
  serviceName: string,
  path: string,
  weight: number,
  importance: 2 | 3 = 2,
): DemoRequest {
  return {service: serviceName, method: 'GET', path, weight, importance};
}

function writeRequest(
  serviceName: string,
  path: string,
  weight: number,
  importance: 0 | 1,
): DemoRequest {
  return {
    service: serviceName,
    method: 'POST',
    path,
    weight,
    importance,
    nonIdempotent: true,
  };
}
