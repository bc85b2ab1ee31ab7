import { generateTeamKey } from '@bulrushbridge/team-keys'
import type { Route, ScenarioWorld } from '../scenario-world.js'
import type { WorkKind } from '../traffic.js'
import type { Steps } from './registry.js'

/** Steps in which callers send requests in the background. */
export const callerSteps: Steps = {
  'callers of {string} send {int} {work} of {int} ms through {route} over {int} seconds': (
    world,
    team: string,
    count: number,
    kind: WorkKind,
    workMs: number,
    route: Route,
    seconds: number,
  ) => world.startTraffic({ team, kind, count, workMs, route, durationMs: seconds * 1_000 }),
  'callers with the key of {string} send {int} requests to the queue of {string} over {int} seconds':
    async (world, owner: string, count: number, team: string, seconds: number) => {
      const { keys } = await world.system()
      await sendWithKey(world, { key: keys[owner]?.key ?? '', count, team, seconds })
    },
  'callers with an unknown key send {int} requests to the queue of {string} over {int} seconds': (
    world,
    count: number,
    team: string,
    seconds: number,
  ) => sendWithKey(world, { key: generateTeamKey(`${team}-1`).key, count, team, seconds }),
}

function sendWithKey(
  world: ScenarioWorld,
  opts: { key: string; count: number; team: string; seconds: number },
): Promise<void> {
  const { seconds, ...spec } = opts
  return world.startTraffic({
    ...spec,
    kind: 'requests',
    workMs: 10,
    route: 'all',
    durationMs: seconds * 1_000,
  })
}
