import type * as ownership from '@camphorwharf/ownership';
import type * as protocol from '@camphorwharf/protocol';
import type * as runtime from '@camphorwharf/runtime';
import type * as transport from '@camphorwharf/transport';
import * as backendServerForwarder from './backend-server-forwarder.js';
import * as callRouter from './call-router.js';
import * as callerHandler from './caller-handler.js';
import type * as daemonComponents from './daemon-components.js';
import * as entryHandler from './entry-handler.js';
import * as runningCallRegistry from './running-call-registry.js';
import * as targetHandler from './target-handler.js';

export interface CallHandlerOptions {
  readonly service: string;
  readonly environment: daemonComponents.DaemonEnvironment;
  readonly metrics: runtime.Metrics;
  readonly peers: transport.PeerConnector;
  readonly coordination: daemonComponents.CoordinationComponents;
  readonly loadControl: daemonComponents.LoadControlComponents;
  readonly startedCalls: ownership.StartedCalls;
  readonly backendServer: transport.BackendServerClient;
  /** Returns the organisation's weight in the fair queue of this target. */
  readonly queueWeightOf: (organisation: string | null) => number;
  /** Returns why this target refuses new calls; null if it accepts them. */
  readonly refusalReason: () => protocol.RefusalReasonName | null;
}

/** The handlers for calls from callers and for calls from peers. */
export interface CallHandlers {
  readonly caller: callerHandler.CallerHandler;
  readonly target: targetHandler.TargetHandler;
}

/** Creates the handlers; both share the registry of calls on this host. */
export function createCallHandlers(options: CallHandlerOptions): CallHandlers {
  const runningCalls = new runningCallRegistry.RunningCallRegistry(
    options.environment.random,
  );
  return {
    caller: createCallerHandler(options, runningCalls),
    target: createTargetHandler(options, runningCalls),
  };
}

function createTargetHandler(
  options: CallHandlerOptions,
  runningCalls: runningCallRegistry.RunningCallRegistry,
): targetHandler.TargetHandler {
  const {clock} = options.environment;
  return new targetHandler.TargetHandler({
    ...options,
    clock,
    admission: options.loadControl.admission,
    backendServer: new backendServerForwarder.BackendServerForwarder({
      clock,
      client: options.backendServer,
      runningCalls,
    }),
  });
}

function createCallerHandler(
  options: CallHandlerOptions,
  runningCalls: runningCallRegistry.RunningCallRegistry,
): callerHandler.CallerHandler {
  const {environment, metrics, peers, coordination, loadControl} = options;
  const {clock, random} = environment;
  const router = new callRouter.CallRouter({
    clock,
    metrics,
    peers,
    targets: loadControl.targets,
    thresholds: loadControl.thresholds,
    onTargetLeaving: ({hostId, incarnation}) =>
      coordination.directory.noteLeaving(
        hostId,
        incarnation,
        'refusal',
        clock.monotonicMs(),
      ),
  });
  const handler = new entryHandler.EntryHandler({
    clock,
    random,
    documentIndex: () => coordination.store.current?.index ?? null,
    limits: coordination.limits,
    keys: coordination.keys,
    router,
    runningCalls,
  });
  return new callerHandler.CallerHandler({
    clock,
    metrics,
    entryHandler: handler,
  });
}
