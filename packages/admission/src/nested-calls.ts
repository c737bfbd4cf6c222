/**
 * Length of the windows in which calls and runs are compared. In shorter ones,
 * the differences between windows would mostly stem from the moments within a
 * run at which it makes its calls.
 */
const WINDOW_MS = 500;

/** Windows that are kept until all but the longest runs in them have ended. */
const OPEN_WINDOWS = 16;

/**
 * Windows after which the weight of one has fallen to 1/e, five minutes. The
 * calls that a run makes depend on the code of the server only, and some
 * hundred windows are needed to tell routes apart that always run together.
 */
const DECAY_WINDOWS = 600;

/**
 * Windows whose runs take longer than usual by this factor are not used: the
 * calls of a run that waits for a saturated service are spread unevenly over
 * its time.
 */
const MAXIMUM_DURATION_RATIO = 1.5;

/** Interval at which the calls per run are computed anew. */
const SOLVE_INTERVAL_MS = 1_000;

/**
 * Squared runs per window with which the average of all routes counts as an
 * observation of each route. It decides while few runs are known.
 */
const PRIOR_WEIGHT = 1;

/** Runs of routes beyond this number are counted as those of one route. */
const MAXIMUM_ROUTES = 24;

/** Calls to routes beyond this number are not counted. */
const MAXIMUM_CALLED_ROUTES = 64;

const OTHER_ROUTES = '';

/** With fewer calls per run, the route is taken not to make the call. */
const NEGLIGIBLE_CALLS = 0.02;

interface Window {
  /** Runs by index of route; a run counts in parts in each of its windows. */
  readonly runs: number[];
  /** Calls by called route. */
  readonly calls: Map<string, number>;
  /** Sum of the durations of the runs, in the same parts. */
  durationsMs: number;
}

interface CallSums {
  calls: number;
  /** Sums over the windows of calls times runs, by index of route. */
  readonly products: number[];
}

/**
 * Learns how many calls to each called route one run of each route makes. A
 * nested call does not name the run that makes it, so the calls of short
 * windows are regressed on the runs: the calls per run minimise the squared
 * difference between the calls of a window and the runs times their calls, and
 * are never negative. Counting runs by their parts in a window, not by their
 * number at the time of a call, keeps the result correct while calls wait: a
 * saturated service delays runs as much as their calls.
 */
export class NestedCalls {
  /** Index of each route. */
  private readonly routes = new Map<string, number>();
  private readonly windows = new Map<number, Window>();
  private firstOpen = -Infinity;
  /** Decaying sums over the closed windows. */
  private readonly runSums: number[] = [];
  private readonly runProducts: number[][] = [];
  private readonly callSums = new Map<string, CallSums>();
  private usualDurationMs: number | null = null;
  private solvedMs = -Infinity;
  private solution = new Map<string, ReadonlyMap<string, number>>();

  noteRun(route: string, startedMs: number, endedMs: number): void {
    this.closeWindows(endedMs);
    const index = this.indexOf(route);
    const durationMs = Math.max(1, endedMs - startedMs);
    const last = windowAt(endedMs);
    const first = Math.max(this.firstOpen, windowAt(endedMs - durationMs));
    for (let number = first; number <= last; number++) {
      const beginMs = Math.max(endedMs - durationMs, number * WINDOW_MS);
      const endMs = Math.min(endedMs, (number + 1) * WINDOW_MS);
      const window = this.open(number);
      const part = (endMs - beginMs) / durationMs;
      window.runs[index] = (window.runs[index] ?? 0) + part;
      window.durationsMs += endMs - beginMs;
    }
  }

  noteCall(calledRoute: string, nowMs: number): void {
    this.closeWindows(nowMs);
    const {calls} = this.open(windowAt(nowMs));
    calls.set(calledRoute, (calls.get(calledRoute) ?? 0) + 1);
  }

  /** Returns the calls that one run of the route makes, by called route. */
  callsPerRun(route: string, nowMs: number): ReadonlyMap<string, number> {
    if (nowMs - this.solvedMs >= SOLVE_INTERVAL_MS) {
      this.closeWindows(nowMs);
      this.solution = this.solve();
      this.solvedMs = nowMs;
    }
    const key = this.routes.has(route) ? route : OTHER_ROUTES;
    return this.solution.get(key) ?? new Map<string, number>();
  }

  private indexOf(route: string): number {
    const known = this.routes.get(route);
    if (known !== undefined) return known;
    const key = this.routes.size < MAXIMUM_ROUTES ? route : OTHER_ROUTES;
    const index = this.routes.get(key) ?? this.routes.size;
    this.routes.set(key, index);
    return index;
  }

  private open(number: number): Window {
    let window = this.windows.get(number);
    if (!window) {
      window = {runs: [], calls: new Map(), durationsMs: 0};
      this.windows.set(number, window);
    }
    return window;
  }

  private closeWindows(nowMs: number): void {
    const firstOpen = windowAt(nowMs) - OPEN_WINDOWS;
    if (firstOpen <= this.firstOpen) return;
    this.firstOpen = firstOpen;
    for (const [number, window] of this.windows) {
      if (number >= firstOpen) continue;
      this.windows.delete(number);
      this.add(window);
    }
  }

  private add({runs, calls, durationsMs}: Window): void {
    const factor = Math.exp(-1 / DECAY_WINDOWS);
    let runCount = 0;
    for (const count of runs) runCount += count ?? 0;
    if (runCount === 0) return;
    const meanMs = durationsMs / runCount;
    const usualMs = this.usualDurationMs ?? meanMs;
    this.usualDurationMs = usualMs * factor + meanMs * (1 - factor);
    if (meanMs > MAXIMUM_DURATION_RATIO * usualMs) return;
    for (const row of this.routes.values()) {
      const count = runs[row] ?? 0;
      this.runSums[row] = (this.runSums[row] ?? 0) * factor + count;
      const products = (this.runProducts[row] ??= []);
      for (const column of this.routes.values()) {
        const product = count * (runs[column] ?? 0);
        products[column] = (products[column] ?? 0) * factor + product;
      }
    }
    for (const called of calls.keys()) {
      if (this.callSums.has(called)) continue;
      if (this.callSums.size >= MAXIMUM_CALLED_ROUTES) continue;
      this.callSums.set(called, {calls: 0, products: []});
    }
    for (const [called, sums] of this.callSums) {
      const count = calls.get(called) ?? 0;
      sums.calls = sums.calls * factor + count;
      for (const index of this.routes.values()) {
        const product = count * (runs[index] ?? 0);
        sums.products[index] = (sums.products[index] ?? 0) * factor + product;
      }
    }
  }

  private solve(): Map<string, ReadonlyMap<string, number>> {
    const solution = new Map<string, Map<string, number>>();
    let totalRuns = 0;
    for (const runs of this.runSums) totalRuns += runs;
    if (totalRuns === 0) return solution;
    for (const [called, sums] of this.callSums) {
      const perRun = this.regress(sums.products, sums.calls / totalRuns);
      for (const [route, index] of this.routes) {
        if (perRun[index] < NEGLIGIBLE_CALLS) continue;
        const calls = solution.get(route) ?? new Map<string, number>();
        solution.set(route, calls.set(called, perRun[index]));
      }
    }
    return solution;
  }

  /**
   * Returns calls per run by index of route. Those that would be negative are
   * set to 0, the lowest first.
   */
  private regress(products: readonly number[], average: number): number[] {
    const perRun = new Array<number>(this.routes.size).fill(0);
    const free = new Set(perRun.keys());
    while (free.size > 0) {
      const indexes = [...free];
      const matrix = indexes.map(row =>
        indexes.map(
          column =>
            (this.runProducts[row]?.[column] ?? 0) +
            (row === column ? PRIOR_WEIGHT : 0),
        ),
      );
      const values = indexes.map(
        row => (products[row] ?? 0) + PRIOR_WEIGHT * average,
      );
      const solution = solveLinear(matrix, values);
      const lowest = Math.min(...solution);
      if (lowest >= 0) {
        for (const [position, index] of indexes.entries()) {
          perRun[index] = solution[position];
        }
        break;
      }
      free.delete(indexes[solution.indexOf(lowest)]);
    }
    return perRun;
  }
}

function windowAt(ms: number): number {
  return Math.floor(ms / WINDOW_MS);
}

/**
 * Solves a system of linear equations by Gaussian elimination. The matrix is
 * symmetric and positive definite, so that no pivoting is needed. Iterative
 * methods converge too slowly: the runs per window vary little in comparison
 * with their mean.
 */
function solveLinear(matrix: number[][], values: number[]): number[] {
  const size = values.length;
  for (let pivot = 0; pivot < size; pivot++) {
    for (let row = pivot + 1; row < size; row++) {
      const factor = matrix[row][pivot] / matrix[pivot][pivot];
      for (let column = pivot; column < size; column++) {
        matrix[row][column] -= factor * matrix[pivot][column];
      }
      values[row] -= factor * values[pivot];
    }
  }
  for (let row = size - 1; row >= 0; row--) {
    for (let column = row + 1; column < size; column++) {
      values[row] -= matrix[row][column] * values[column];
    }
    values[row] /= matrix[row][row];
  }
  return values;
}
