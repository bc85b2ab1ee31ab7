import { setTimeout as sleep } from 'node:timers/promises'
import type { Steps } from './registry.js'

/** Steps that describe the system, and steps that wait. */
export const systemSteps: Steps = {
  'seed {int}': (world, seed: number) => {
    world.spec.seed = seed
  },
  '{int} entry hosts in {int} availability zones and {int} runners with {int} slots': (
    world,
    entryHosts: number,
    zones: number,
    runners: number,
    slots: number,
  ) => {
    Object.assign(world.spec, { entryHosts, zones, runners, slots })
  },
  '{int} control programs and {int} workers': (world, controlPrograms: number, workers: number) => {
    Object.assign(world.spec, { controlPrograms, workers })
  },
  'the team {string} has an upper limit of {int}': (world, team: string, limit: number) => {
    world.spec.limits[team] = limit
  },
  '{float} second(s) pass(es)': async (_world, seconds: number) => {
    await sleep(seconds * 1_000)
  },
}
