import * as actions from './actions.js';
import * as clone from './clone.js';
import type * as modelState from './model-state.js';

export interface ExploreOptions {
  /** Maximum number of steps from the initial state. */
  readonly depth: number;
  /** Maximum number of faults on one path. */
  readonly faults: number;
  /** Maximum number of calls with the key on one path. */
  readonly calls: number;
  /** Kinds of fault to include; all when absent. */
  readonly kinds?: ReadonlySet<actions.Action['kind']>;
  /** Maximum number of states; a search that reaches it is not complete. */
  readonly stateLimit?: number;
}

export interface ExploreResult {
  readonly states: number;
  readonly steps: number;
  readonly isComplete: boolean;
  readonly violation: string | null;
  readonly trace: readonly string[];
}

/** Steps, faults and calls that a path may still take. */
interface SearchBudget {
  readonly depth: number;
  readonly faults: number;
  readonly calls: number;
}

/** Host that can replace another one. */
const SPARE_HOST = 'd';

/** Searches all paths within a budget depth-first, pruning by state hash. */
export class Explorer {
  /** Largest remaining depth with which each state was expanded. */
  private readonly visited = new Map<number, number>();
  private steps = 0;
  private failed: modelState.ModelState | null = null;
  private isComplete = true;

  constructor(private readonly options: ExploreOptions) {}

  explore(start: modelState.ModelState): ExploreResult {
    this.visit(start, {
      depth: this.options.depth,
      faults: this.options.faults,
      calls: this.options.calls,
    });
    return {
      states: this.visited.size,
      steps: this.steps,
      isComplete: this.isComplete,
      violation: this.failed?.invariants.violations[0] ?? null,
      trace: this.failed?.trace ?? [],
    };
  }

  private visit(state: modelState.ModelState, budget: SearchBudget): void {
    if (this.failed) return;
    if (state.invariants.violations.length > 0) {
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
    for (const action of this.enabledActions(state, budget)) {
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

  private enabledActions(
    state: modelState.ModelState,
    budget: SearchBudget,
  ): actions.Action[] {
    const result: actions.Action[] = [{kind: 'none'}];
    if (budget.faults > 0) {
      result.push(
        ...actions
          .faultActions(state.hosts, SPARE_HOST)
          .filter(({kind}) => this.options.kinds?.has(kind) ?? true),
      );
    }
    if (budget.calls > 0) {
      for (const host of state.hosts) result.push({kind: 'call', host, key: 0});
    }
    return result;
  }
}

function isFault(action: actions.Action): boolean {
  return action.kind !== 'none' && action.kind !== 'call';
}
