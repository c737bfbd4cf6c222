import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as backendServerCall from './backend-server-call.js';
import * as callRouter from './call-router.js';
import * as callerPath from './caller-path.js';
import type * as daemonParts from './daemon-parts.js';
import * as entryPath from './entry-path.js';
import * as handles from './handles.js';
import * as targetPath from './target-path.js';

export interface CallPathOptions {
  readonly service: string;
  readonly environment: daemonParts.DaemonEnvironment;
  readonly metrics: runtime.Metrics;
  readonly peers: transport.PeerDirectory;
  readonly coordination: daemonParts.CoordinationParts;
  readonly load: daemonParts.LoadParts;
  readonly register: ownership.StartedCalls;
  readonly backendServer: transport.BackendServerClient;
  /** The organisation's weight in the fair queue of this target. */
  readonly weightOf: (organisation: string | null) => number;
  /** Why this target refuses new calls; null when it serves them. */
  readonly closedReason: () => protocol.RefusalReasonName | null;
}

/** Both ways of a call through this daemon. */
export interface CallPaths {
  readonly caller: callerPath.CallerPath;
  readonly target: targetPath.TargetPath;
}

/** Wires the paths of calls; both share the calls that run on this host. */
export function createCallPaths(options: CallPathOptions): CallPaths {
  const running = new handles.RunningCalls(options.environment.random);
  return {
    caller: createCallerPath(options, running),
    target: createTargetPath(options, running),
  };
}

function createTargetPath(
  options: CallPathOptions,
  running: handles.RunningCalls,
): targetPath.TargetPath {
  const {clock} = options.environment;
  return new targetPath.TargetPath({
    ...options,
    clock,
    admission: options.load.admission,
    backendServer: new backendServerCall.BackendServerCaller({
      clock,
      client: options.backendServer,
      running,
    }),
  });
}

function createCallerPath(
  options: CallPathOptions,
  running: handles.RunningCalls,
): callerPath.CallerPath {
  const {environment, metrics, peers, coordination, load} = options;
  const {clock, random} = environment;
  const router = new callRouter.CallRouter({
    clock,
    metrics,
    peers,
    targets: load.targets,
    thresholds: load.thresholds,
    onLeaving: ({hostId, incarnation}) =>
      coordination.directory.noteLeaving(
        hostId,
        incarnation,
        'refusal',
        clock.monotonicMs(),
      ),
  });
  const entry = new entryPath.EntryPath({
    clock,
    random,
    routes: () => coordination.store.current?.index ?? null,
    limits: coordination.limits,
    keys: coordination.keys,
    router,
    running,
  });
  return new callerPath.CallerPath({clock, metrics, entry});
}
