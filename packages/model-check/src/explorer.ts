import * as actions from './actions.js';
import * as clone from './clone.js';
import type * as world from './world.js';

export interface ExploreOptions {
  /** Steps from the first state. */
  readonly depth: number;
  /** Faults on one path. */
  readonly faults: number;
  /** Sends of the key on one path. */
  readonly calls: number;
  /** Kinds of fault to include; all when absent. */
  readonly kinds?: ReadonlySet<actions.Action['kind']>;
  /** Greatest number of states; reaching it is reported. */
  readonly stateLimit?: number;
}

export interface ExploreResult {
  readonly states: number;
  readonly steps: number;
  readonly isComplete: boolean;
  readonly violation: string | null;
  readonly trace: readonly string[];
}

interface Budget {
  readonly depth: number;
  readonly faults: number;
  readonly calls: number;
}

const SPARE_HOST = 'd';

/** Depth-first search over all paths within a budget, with state hashing. */
export class Explorer {
  /** Greatest remaining depth with which a state was left. */
  private readonly visited = new Map<number, number>();
  private steps = 0;
  private failed: world.World | null = null;
  private isComplete = true;

  constructor(private readonly options: ExploreOptions) {}

  explore(start: world.World): ExploreResult {
    this.visit(start, {
      depth: this.options.depth,
      faults: this.options.faults,
      calls: this.options.calls,
    });
    return {
      states: this.visited.size,
      steps: this.steps,
      isComplete: this.isComplete,
      violation: this.failed?.properties.violations[0] ?? null,
      trace: this.failed?.trace ?? [],
    };
  }

  private visit(state: world.World, budget: Budget): void {
    if (this.failed) return;
    if (state.properties.violations.length > 0) {
      this.failed = state;
      return;
    }
    const key = state.hash() * 16 + budget.faults * 4 + budget.calls;
    const seenDepth = this.visited.get(key);
    if (seenDepth !== undefined && seenDepth >= budget.depth) return;
    if (this.visited.size >= (this.options.stateLimit ?? Infinity)) {
      this.isComplete = false;
      return;
    }
    this.visited.set(key, budget.depth);
    if (budget.depth === 0) return;
    for (const action of this.choices(state, budget)) {
      const next = clone.deepClone(state);
      next.step(action);
      this.steps++;
      this.visit(next, {
        depth: budget.depth - 1,
        faults: budget.faults - (isFault(action) ? 1 : 0),
        calls: budget.calls - (action.kind === 'call' ? 1 : 0),
      });
    }
  }

  private choices(state: world.World, budget: Budget): actions.Action[] {
    const found: actions.Action[] = [{kind: 'none'}];
    if (budget.faults > 0) {
      found.push(
        ...actions
          .faults(state.hosts, SPARE_HOST)
          .filter(({kind}) => this.options.kinds?.has(kind) ?? true),
      );
    }
    if (budget.calls > 0) {
      for (const host of state.hosts) found.push({kind: 'call', host, key: 0});
    }
    return found;
  }
}

function isFault(action: actions.Action): boolean {
  return action.kind !== 'none' && action.kind !== 'call';
}
