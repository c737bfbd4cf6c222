import type * as documents from './document.js';

/** The routes of one path prefix. */
interface PrefixRoutes {
  readonly byMethod: Map<string, documents.Route>;
  allMethods: documents.Route | null;
}

/** Routes of one service, by path prefix. */
interface ServiceRoutes {
  readonly byPrefix: Map<string, PrefixRoutes>;
  /** Number of segments of the longest prefix. */
  maximumSegments: number;
}

/** Paths that match must be decoded and checked; all others are used as is. */
const NORMALIZATION_NEEDED_PATTERN =
  /[%?#\\\u0000-\u0020\u007f]|\/\/|\/\.{1,2}(?:\/|$)/;
const DOT_SEGMENT_PATTERN = /\/\.{1,2}(?:\/|$)/;
const AMBIGUOUS_DECODED_PATTERN = /[\\\u0000-\u001f\u007f]|\/\//;

/** Finds the route of a call in time linear in the prefix depth. */
export class RouteTable {
  readonly #services = new Map<string, ServiceRoutes>();

  constructor(routes: readonly documents.Route[]) {
    for (const route of routes) this.#add(route);
  }

  /**
   * Returns the route with the longest matching prefix; for equal prefixes, a
   * route that lists the method takes priority over one for all methods. A
   * prefix matches whole segments: `/parts` matches `/parts` and `/parts/7`,
   * not `/parts-admin`.
   *
   * Returns null if no route matches, and for paths that a backend server could
   * interpret differently (dot segments, empty segments, encoded slashes,
   * backslashes, control characters, malformed escapes). Such a path could
   * bypass the authorization of a protected route via an open route.
   *
   * @param path The path without the service name; a query is ignored.
   */
  match(service: string, method: string, path: string): documents.Route | null {
    const routes = this.#services.get(service);
    if (routes === undefined) return null;
    const normalized = normalizePath(path);
    if (normalized === null) return null;
    let end = findSegmentEnd(normalized, routes.maximumSegments);
    for (;;) {
      const prefix = end === 0 ? '/' : normalized.slice(0, end);
      const candidates = routes.byPrefix.get(prefix);
      const route =
        candidates?.byMethod.get(method) ?? candidates?.allMethods ?? null;
      if (route !== null || end === 0) return route;
      end = normalized.lastIndexOf('/', end - 1);
    }
  }

  #add(route: documents.Route): void {
    let routes = this.#services.get(route.service);
    if (routes === undefined) {
      routes = {byPrefix: new Map(), maximumSegments: 0};
      this.#services.set(route.service, routes);
    }
    let prefix = routes.byPrefix.get(route.pathPrefix);
    if (prefix === undefined) {
      prefix = {byMethod: new Map(), allMethods: null};
      routes.byPrefix.set(route.pathPrefix, prefix);
    }
    if (route.methods.length === 0) prefix.allMethods = route;
    for (const method of route.methods) prefix.byMethod.set(method, route);
    if (route.pathPrefix !== '/') {
      const segments = route.pathPrefix.split('/').length - 1;
      routes.maximumSegments = Math.max(routes.maximumSegments, segments);
    }
  }
}

/** Decodes the path for matching; returns null if it is ambiguous. */
function normalizePath(path: string): string | null {
  if (path === '') return '/';
  if (!path.startsWith('/')) return path.startsWith('?') ? '/' : null;
  if (!NORMALIZATION_NEEDED_PATTERN.test(path)) return path;
  const query = path.search(/[?#]/);
  const encoded = query === -1 ? path : path.slice(0, query);
  if (/%2f/i.test(encoded)) return null;
  let decoded: string;
  try {
    decoded = decodeURIComponent(encoded);
  } catch {
    return null;
  }
  return AMBIGUOUS_DECODED_PATTERN.test(decoded) ||
    DOT_SEGMENT_PATTERN.test(decoded)
    ? null
    : decoded;
}

/** Returns the index at which the first `count` segments end. */
function findSegmentEnd(path: string, count: number): number {
  let end = 0;
  for (let segment = 0; segment < count; segment++) {
    const next = path.indexOf('/', end + 1);
    if (next === -1) {
      // A trailing slash adds no segment: "/parts/" matches "/parts".
      return path.length === end + 1 ? end : path.length;
    }
    end = next;
  }
  return end;
}
