/** Size and behaviour of one service of a demo deployment. */
export interface DemoService {
  readonly name: string;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  readonly serviceTimeMs: number;
  /** Calls that each request makes through the local daemon. */
  readonly downstream: ReadonlyArray<{
    readonly service: string;
    readonly method: string;
    readonly path: string;
  }>;
}

/** One request kind of the load. */
export interface DemoRequest {
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly weight: number;
  readonly importance: 0 | 1 | 2 | 3;
  readonly nonIdempotent?: boolean;
}

/** A deployment with its load. Load stays small enough for one machine. */
export interface DemoDeployment {
  readonly name: string;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly services: readonly DemoService[];
  readonly requests: readonly DemoRequest[];
  readonly requestsPerSecond: number;
  /** The service that is slowed down. */
  readonly slowService: string;
  /** Factor by which the slow service's time grows. */
  readonly slowFactor: number;
}

const teranga: DemoDeployment = {
  name: 'teranga',
  region: 'senegal-west',
  availabilityZones: ['dakar', 'thies', 'kaolack'],
  services: [
    service('catalogue', 5, 35, 300, 10),
    service('workshop', 3, 50, 400, 15, [['catalogue', '/parts/filter']]),
    service('warranty', 3, 50, 400, 100, [['catalogue', '/parts/pump']]),
    service('billing', 3, 15, 200, 20),
  ],
  requests: [
    lookup('catalogue', '/parts/belt', 40),
    lookup('catalogue', '/public/models', 5, 3),
    order('workshop', '/bookings', 15, 0),
    lookup('warranty', '/claims', 20),
    order('warranty', '/claims', 10, 1),
    order('billing', '/invoices', 10, 0),
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
    service('catalogue', 6, 100, 700, 10),
    service('bookings', 4, 150, 1_000, 15, [['catalogue', '/units/cabin']]),
    service('dispatch', 3, 200, 1_300, 150, [['catalogue', '/units/truck']]),
    service('billing', 3, 20, 250, 20),
  ],
  requests: [
    lookup('catalogue', '/units/cabin', 45),
    order('bookings', '/reservations', 20, 0),
    lookup('dispatch', '/trips', 15),
    order('dispatch', '/trips', 10, 1),
    order('billing', '/invoices', 10, 0),
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

function service(
  name: string,
  targets: number,
  slots: number,
  connections: number,
  serviceTimeMs: number,
  downstream: ReadonlyArray<readonly [string, string]> = [],
): DemoService {
  return {
    name,
    targets,
    slots,
    connections,
    serviceTimeMs,
    downstream: downstream.map(([callee, path]) => ({
      service: callee,
      method: 'GET',
      path,
    })),
  };
}

function lookup(
  serviceName: string,
  path: string,
  weight: number,
  importance: 2 | 3 = 2,
): DemoRequest {
  return {service: serviceName, method: 'GET', path, weight, importance};
}

function order(
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
