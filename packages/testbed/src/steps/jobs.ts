import assert from 'node:assert/strict'
import type { JobFleet } from '../job-fleet.js'
import type { RunningProgram } from '../launch.js'
import type { RecordedStart } from '../run-recorder.js'
import type { ScenarioWorld } from '../scenario-world.js'
import { until } from '../testbed.js'
import { assertNoStartAfter, findRepeated, collectResults, readToken } from './checks.js'
import { scheduleFaultEnd } from './faults.js'
import type { Steps } from './registry.js'

/**
 * Longest wait until all accepted jobs have started, in milliseconds. It covers a lease, its
 * settlement and the work.
 */
const jobStartTimeoutMs = 40_000

async function findJobFleet(world: ScenarioWorld): Promise<JobFleet> {
  const { jobFleet } = await world.system()
  if (jobFleet === undefined) throw new Error('the scenario defines no control programs')
  return jobFleet
}

async function findPlacementHolder(world: ScenarioWorld): Promise<RunningProgram> {
  const fleet = await findJobFleet(world)
  await until(async () => (await fleet.findPlacementHolder()) !== -1)
  const holder = fleet.controlPrograms[await fleet.findPlacementHolder()]
  if (holder === undefined) throw new Error('no control program holds the placement duty')
  return holder
}

function freeze(world: ScenarioWorld, program: RunningProgram, seconds: number): void {
  program.kill('SIGSTOP')
  scheduleFaultEnd(world, seconds, () => {
    program.kill('SIGCONT')
  })
}

async function kill(program: RunningProgram): Promise<void> {
  program.kill('SIGKILL')
  await program.waitForExit()
}

function isTask({ path }: RecordedStart): boolean {
  return path.startsWith('/jobs')
}

/** Steps that cause faults of control programs and workers, and checks of jobs. */
export const jobSteps: Steps = {
  'the control program that holds the placement duty is killed': async world => {
    await kill(await findPlacementHolder(world))
  },
  'the control program that holds the placement duty is frozen for {float} second(s)': async (
    world,
    seconds: number,
  ) => {
    freeze(world, await findPlacementHolder(world), seconds)
  },
  'all control programs are frozen for {float} second(s)': async (world, seconds: number) => {
    for (const program of (await findJobFleet(world)).controlPrograms)
      freeze(world, program, seconds)
  },
  'control program {int} is killed': async (world, n: number) => {
    const program = (await findJobFleet(world)).controlPrograms[n - 1]
    if (program === undefined) throw new RangeError(`there is no control program ${n}`)
    await kill(program)
  },
  'workers delay their responses by {int} ms': async (world, slowMs: number) => {
    for (const { faults } of (await findJobFleet(world)).workers) faults.slowMs = slowMs
  },
  'every accepted job was started': async world => {
    const { calls, starts } = await collectResults(world)
    const accepted = calls.filter(
      ({ kind, response }) => kind === 'jobs' && response.status === 202,
    )
    const tokens = new Set(accepted.map(({ token }) => token))
    assert.ok(tokens.size > 0, 'no job was accepted')
    const findMissing = () => {
      const started = new Set(starts.map(({ path }) => readToken(path)))
      return [...tokens].filter(token => !started.has(token))
    }
    await until(() => findMissing().length === 0, jobStartTimeoutMs).catch(() => undefined)
    assert.deepEqual(findMissing(), [], `some of the ${tokens.size} accepted jobs were not started`)
  },
  'no job was started more than once': async world => {
    const { starts } = await collectResults(world)
    const tokens = starts.filter(isTask).map(({ path }) => readToken(path))
    assert.ok(tokens.length > 0, 'no job was started')
    assert.deepEqual(findRepeated(tokens), [])
  },
  'no task started in zone {string} later than {float} seconds after it was taken out': (
    world,
    zone: string,
    seconds: number,
  ) =>
    assertNoStartAfter(
      world,
      `zone ${zone} out`,
      seconds,
      start => isTask(start) && start.zone === zone,
    ),
  'tasks and requests of {string} were started': async (world, team: string) => {
    const { starts } = await collectResults(world)
    const teamStarts = starts.filter(start => start.team === team)
    assert.ok(teamStarts.some(isTask) && !teamStarts.every(isTask))
  },
}
