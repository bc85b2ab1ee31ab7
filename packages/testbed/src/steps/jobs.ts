import assert from 'node:assert/strict'
import type { JobFleet } from '../job-fleet.js'
import type { RunningProgram } from '../launch.js'
import type { RecordedStart } from '../run-recorder.js'
import type { ScenarioWorld } from '../scenario-world.js'
import { until } from '../testbed.js'
import { assertNoneLater, repeated, results, tokenOf } from './checks.js'
import { endAfter } from './faults.js'
import type { Steps } from './registry.js'

/** Longest wait for the start of all jobs, in milliseconds: a lease, its settlement and the work. */
const jobsMs = 40_000

async function fleetOf(world: ScenarioWorld): Promise<JobFleet> {
  const { jobFleet } = await world.system()
  if (jobFleet === undefined) throw new Error('the scenario has no control programs')
  return jobFleet
}

async function placementHolder(world: ScenarioWorld): Promise<RunningProgram> {
  const fleet = await fleetOf(world)
  await until(async () => (await fleet.placementHolder()) !== -1)
  const holder = fleet.controls[await fleet.placementHolder()]
  if (holder === undefined) throw new Error('no control program holds the placement')
  return holder
}

function freeze(world: ScenarioWorld, program: RunningProgram, seconds: number): void {
  program.kill('SIGSTOP')
  endAfter(world, seconds, () => {
    program.kill('SIGCONT')
  })
}

async function kill(program: RunningProgram): Promise<void> {
  program.kill('SIGKILL')
  await program.ended()
}

function isTask({ path }: RecordedStart): boolean {
  return path.startsWith('/jobs')
}

/** Faults of control programs and workers, and checks of jobs. */
export const jobSteps: Steps = {
  'the control program that holds the placement is killed': async world => {
    await kill(await placementHolder(world))
  },
  'the control program that holds the placement is frozen for {float} second(s)': async (
    world,
    seconds: number,
  ) => {
    freeze(world, await placementHolder(world), seconds)
  },
  'all control programs are frozen for {float} second(s)': async (world, seconds: number) => {
    for (const program of (await fleetOf(world)).controls) freeze(world, program, seconds)
  },
  'control program {int} is killed': async (world, n: number) => {
    const program = (await fleetOf(world)).controls[n - 1]
    if (program === undefined) throw new RangeError(`there is no control program ${n}`)
    await kill(program)
  },
  'workers answer late by {int} ms': async (world, slowMs: number) => {
    for (const { faults } of (await fleetOf(world)).workers) faults.slowMs = slowMs
  },
  'every accepted job was started': async world => {
    const { calls, starts } = await results(world)
    const accepted = calls.filter(({ kind, answer }) => kind === 'jobs' && answer.status === 202)
    const tokens = new Set(accepted.map(({ token }) => token))
    assert.ok(tokens.size > 0, 'no job was accepted')
    const missing = () => {
      const started = new Set(starts.map(({ path }) => tokenOf(path)))
      return [...tokens].filter(token => !started.has(token))
    }
    await until(() => missing().length === 0, jobsMs).catch(() => undefined)
    assert.deepEqual(missing(), [], `of ${tokens.size} accepted jobs`)
  },
  'no job was started more than once': async world => {
    const { starts } = await results(world)
    const tokens = starts.filter(isTask).map(({ path }) => tokenOf(path))
    assert.ok(tokens.length > 0, 'no job was started')
    assert.deepEqual(repeated(tokens), [])
  },
  'no task started in zone {string} later than {float} seconds after it was taken out': (
    world,
    zone: string,
    seconds: number,
  ) =>
    assertNoneLater(
      world,
      `zone ${zone} out`,
      seconds,
      start => isTask(start) && start.zone === zone,
    ),
  'tasks and requests of {string} were started': async (world, team: string) => {
    const { starts } = await results(world)
    const ofTeam = starts.filter(start => start.team === team)
    assert.ok(ofTeam.some(isTask) && !ofTeam.every(isTask))
  },
}
