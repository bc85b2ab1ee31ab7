import type { RunnerFaults, RunnerStandin } from '@bulrushbridge/standins'
import { setTimeout as sleep } from 'node:timers/promises'
import { findEntry, type ScenarioWorld } from '../scenario-world.js'
import type { Link } from '../link.js'
import type { Steps } from './registry.js'

async function findRunner(world: ScenarioWorld, n: number): Promise<RunnerStandin> {
  const runner = (await world.system()).testbed.runners[n - 1]
  if (runner === undefined) throw new RangeError(`the testbed has no runner ${n}`)
  return runner
}

async function findRunnerLink(world: ScenarioWorld, n: number): Promise<Link> {
  const link = (await world.system()).testbed.runnerLinks[n - 1]
  if (link === undefined) throw new RangeError(`the testbed has no link to runner ${n}`)
  return link
}

/** Ends a fault after a number of seconds, while the scenario continues. */
export function scheduleFaultEnd(world: ScenarioWorld, seconds: number, end: () => void): void {
  world.backgroundTasks.push(sleep(seconds * 1_000).then(end))
}

/** Returns a step that switches faults of the n-th runner. */
function createRunnerFaultStep(fault: Partial<RunnerFaults>) {
  return async (world: ScenarioWorld, n: number) => {
    const runner = await findRunner(world, n)
    runner.switchFaults(fault)
  }
}

/** Steps that cause and end faults of the store. */
const storeSteps: Steps = {
  'the store is down': async world => {
    const { testbed } = await world.system()
    testbed.table.faults.down = true
  },
  'the store is down for {float} second(s)': async (world, seconds: number) => {
    const { faults } = (await world.system()).testbed.table
    faults.down = true
    scheduleFaultEnd(world, seconds, () => (faults.down = false))
  },
  'the store responds again': async world => {
    const { faults } = (await world.system()).testbed.table
    Object.assign(faults, { down: false, silent: false, slowMs: 0 })
  },
  'the store goes silent for {float} second(s)': async (world, seconds: number) => {
    const { faults } = (await world.system()).testbed.table
    faults.silent = true
    scheduleFaultEnd(world, seconds, () => (faults.silent = false))
  },
  'the store delays its responses by {int} ms': async (world, ms: number) => {
    const { testbed } = await world.system()
    testbed.table.faults.slowMs = ms
  },
  'the store loses {int} percent of its responses': async (world, percent: number) => {
    const { testbed } = await world.system()
    testbed.table.faults.loseAnswers = { probability: percent / 100, seed: world.spec.seed }
  },
  'the store loses {int} percent of its responses for {float} second(s)': async (
    world,
    percent: number,
    seconds: number,
  ) => {
    const { faults } = (await world.system()).testbed.table
    faults.loseAnswers = { probability: percent / 100, seed: world.spec.seed }
    scheduleFaultEnd(world, seconds, () => (faults.loseAnswers = { next: 0 }))
  },
}

/** Steps that cause and end faults of entry hosts and of links to the store and runners. */
const entrySteps: Steps = {
  'entry host {int} is frozen for {float} second(s)': async (world, n: number, seconds: number) => {
    const { program } = findEntry((await world.system()).testbed.entries, n)
    program.kill('SIGSTOP')
    scheduleFaultEnd(world, seconds, () => {
      program.kill('SIGCONT')
    })
  },
  'entry host {int} is killed': async (world, n: number) => {
    const system = await world.system()
    system.isUnrecoverable = true
    const { program } = findEntry(system.testbed.entries, n)
    program.kill('SIGKILL')
    await program.waitForExit()
  },
  'entry host {int} is replaced': async (world, n: number) => {
    const { testbed } = await world.system()
    const { id, zone } = findEntry(testbed.entries, n)
    await testbed.startEntry(id, zone)
    await testbed.waitUntilReady()
  },
  'entry host {int} receives SIGTERM': async (world, n: number) => {
    const system = await world.system()
    system.isUnrecoverable = true
    const { program } = findEntry(system.testbed.entries, n)
    program.kill('SIGTERM')
    world.exitStatuses.push(program.waitForExit())
  },
  'the link between entry host {int} and the store is cut': async (world, n: number) => {
    const { storeLink } = findEntry((await world.system()).testbed.entries, n)
    storeLink.cut()
  },
  'the link between entry host {int} and the store goes silent': async (world, n: number) => {
    const { storeLink } = findEntry((await world.system()).testbed.entries, n)
    storeLink.silence()
  },
  'the link to runner {int} is cut for {float} second(s)': async (
    world,
    n: number,
    seconds: number,
  ) => {
    const link = await findRunnerLink(world, n)
    link.cut()
    scheduleFaultEnd(world, seconds, () => {
      link.heal()
    })
  },
  'the open connections to runner {int} are cut': async (world, n: number) => {
    const link = await findRunnerLink(world, n)
    link.cut()
    link.heal()
  },
  'open connections to runner {int} go silent': async (world, n: number) => {
    const link = await findRunnerLink(world, n)
    link.silenceOpenConnections()
  },
}

/** Steps that cause and end faults of runners. */
const runnerSteps: Steps = {
  'runner {int} delays its responses by {int} ms': async (world, n: number, lateMs: number) => {
    const runner = await findRunner(world, n)
    runner.switchFaults({ lateMs })
  },
  'runner {int} responds with the id of another request': createRunnerFaultStep({ crossed: true }),
  'every runner responds with the id of another request': async world => {
    for (const runner of (await world.system()).testbed.runners)
      runner.switchFaults({ crossed: true })
  },
  'runner {int} closes connections after half of each response': createRunnerFaultStep({
    cut: true,
  }),
  'runner {int} closes connections when the work starts': createRunnerFaultStep({
    cutBefore: true,
  }),
  'runner {int} refuses all requests': createRunnerFaultStep({ refuse: true }),
  'runner {int} fails all requests': createRunnerFaultStep({ failAll: true }),
  'runner {int} is {int} times slower': async (world, n: number, slowFactor: number) => {
    const runner = await findRunner(world, n)
    runner.switchFaults({ slowFactor })
  },
  'runner {int} is frozen for {float} second(s)': async (world, n: number, seconds: number) => {
    const runner = await findRunner(world, n)
    runner.switchFaults({ freeze: true })
    scheduleFaultEnd(world, seconds, () => {
      runner.switchFaults({ freeze: false })
    })
  },
  'runner {int} responds correctly again': createRunnerFaultStep({
    lateMs: 0,
    crossed: false,
    cut: false,
    cutBefore: false,
    refuse: false,
    failAll: false,
    slowFactor: 1,
  }),
  'runner {int} is killed': async (world, n: number) => {
    const system = await world.system()
    system.isUnrecoverable = true
    const runner = await findRunner(world, n)
    await runner.close()
  },
  'runner {int} shuts down gracefully': async (world, n: number) => {
    const system = await world.system()
    system.isUnrecoverable = true
    const runner = await findRunner(world, n)
    world.eventTimes.set(`shutdown of r${n}`, performance.now())
    world.backgroundTasks.push(runner.shutdown(shutdownGraceMs))
  },
}

/** Time for which a runner that shuts down gracefully still accepts work, in milliseconds. */
const shutdownGraceMs = 6_000

/** Steps that cause and end faults. */
export const faultSteps: Steps = { ...storeSteps, ...entrySteps, ...runnerSteps }
