import type { Route } from '../scenario-world.js'
import type { WorkKind } from '../traffic.js'
import type { Steps } from './registry.js'

/** Steps of callers; their requests are sent in the background. */
export const callerSteps: Steps = {
  'callers of {string} send {int} {work} of {int} ms through {route} over {int} seconds': (
    world,
    team: string,
    count: number,
    kind: WorkKind,
    workMs: number,
    route: Route,
    seconds: number,
  ) => world.startTraffic({ team, kind, count, workMs, route, overMs: seconds * 1_000 }),
}
