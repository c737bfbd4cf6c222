import type * as runtime from '@camphorwharf/runtime';
import type * as directory from './backend-server-directory.js';

/** Candidates that are visited in a random order. */
export class CandidateGroup {
  /** Steps that visit each candidate once, from any start. */
  private readonly strides: readonly number[];

  constructor(readonly servers: readonly directory.BackendServer[]) {
    const strides: number[] = [];
    for (let stride = 1; stride < servers.length; stride++) {
      if (greatestCommonDivisor(stride, servers.length) === 1) {
        strides.push(stride);
      }
    }
    this.strides = strides.length > 0 ? strides : [1];
  }

  randomStride(random: runtime.RandomSource): number {
    const {strides} = this;
    return strides[Math.floor(random.next() * strides.length)];
  }
}

interface ZoneGroups {
  readonly local: CandidateGroup;
  readonly remote: CandidateGroup;
}

/**
 * The candidates of services by availability zone. Computed once for each list
 * of candidates, which changes only with the directory.
 */
export class CandidateGroups {
  private readonly groups = new WeakMap<
    readonly directory.BackendServer[],
    ZoneGroups
  >();

  constructor(private readonly ownZone: string) {}

  of(candidates: readonly directory.BackendServer[]): ZoneGroups {
    let groups = this.groups.get(candidates);
    if (!groups) {
      const isLocal = (server: directory.BackendServer) =>
        server.availabilityZone === this.ownZone;
      groups = {
        local: new CandidateGroup(candidates.filter(isLocal)),
        remote: new CandidateGroup(
          candidates.filter(server => !isLocal(server)),
        ),
      };
      this.groups.set(candidates, groups);
    }
    return groups;
  }
}

function greatestCommonDivisor(left: number, right: number): number {
  return right === 0 ? left : greatestCommonDivisor(right, left % right);
}
