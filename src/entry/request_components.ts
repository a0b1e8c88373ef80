/** What serves the requests of callers on an entry host. */
import type { Server } from "node:http";
import { AdmissionController } from "../admission/admission_controller.ts";
import { Allowances } from "../admission/allowances.ts";
import { PoolLimiters } from "../admission/pool_limiters.ts";
import { createEndpointClient } from "../endpoints/endpoint_client.ts";
import { CallerApi } from "../http_api/caller_api.ts";
import { createCallerServer } from "../http_api/caller_server.ts";
import { createForwardToMinter } from "../http_api/forward_to_minter.ts";
import { RunningRequests } from "../http_api/running_requests.ts";
import { HostLifecycleState } from "../lifecycle/host_lifecycle.ts";
import { notifyLiveMembers } from "../peers/heartbeats.ts";
import type { PipelineDependencies } from "../pipelines/pipeline_dependencies.ts";
import { createPipelineObserver } from "../pipelines/pipeline_observer.ts";
import { runPipeline } from "../pipelines/pipeline_run.ts";
import { EndpointRouter } from "../routing/endpoint_router.ts";
import type { ClaimComponents } from "./claim_components.ts";
import type { HostContext } from "./host_context.ts";

/** Components that serve the requests of callers. */
export interface RequestComponents {
  allowances: Allowances;
  running: RunningRequests;
  callerServer: Server;
}

/** Creates what serves callers; the server does not listen yet. */
export function createRequestComponents(
  context: HostContext,
  { claims }: ClaimComponents,
): RequestComponents {
  const { settings, configuration, lifecycle, members, log, now } = context;
  const running = new RunningRequests();
  const allowances = createAllowances(context);
  const { policy } = settings.admission;
  const dependencies: PipelineDependencies = {
    admission: new AdmissionController({
      configuration,
      limiters: new PoolLimiters({ now, policy }),
      policy,
      allowances,
      acceptsRequests: () => lifecycle.acceptsRequests,
      servingHosts: context.servingHosts,
      log,
      now,
    }),
    router: createRouter(context),
    claims,
    observer: createPipelineObserver(log, context.metrics, now),
    now,
  };
  const api = new CallerApi({
    configuration,
    claims,
    running,
    run: (request) => runPipeline(request, dependencies),
    acceptsRequests: () => lifecycle.acceptsRequests,
    isReady: () => lifecycle.state === HostLifecycleState.Ready,
    forwardToMinter: createForwardToMinter({
      members,
      running,
      incarnation: context.incarnation,
      host: settings.host.name,
      log,
    }),
    limits: settings.limits,
    log,
    now,
  });
  const callerServer = createCallerServer(api, settings.limits);
  return { allowances, running, callerServer };
}

function createAllowances(
  { members, servingHosts, now }: HostContext,
): Allowances {
  return new Allowances({
    servingHosts,
    otherDemand: (organisation) =>
      members.live(now())
        .flatMap((member) => member.demand)
        .filter((demand) => demand.organisation === organisation)
        .reduce((sum, demand) => sum + demand.requests_per_second, 0),
  });
}

function createRouter(context: HostContext): EndpointRouter {
  const { settings, configuration, states, log, now, random } = context;
  return new EndpointRouter({
    configuration,
    states,
    zones: context.zones,
    host: settings.host.name,
    monotonicNow: () => performance.now(),
    call: createEndpointClient(context.connections, now),
    policy: settings.routing.policy,
    availability_zone: settings.host.availability_zone,
    servingHosts: context.servingHosts,
    onLeaving: ({ fleet, name }) =>
      notifyLiveMembers(
        context,
        (peer) => peer.endpointLeaving.mutate({ fleet, name }),
      ),
    log,
    now,
    random,
  });
}
