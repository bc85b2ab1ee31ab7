import type { RunnerFaults, RunnerStandin } from '@bulrushbridge/standins'
import { setTimeout as sleep } from 'node:timers/promises'
import { entryOf, type ScenarioWorld } from '../scenario-world.js'
import type { Link } from '../link.js'
import type { Steps } from './registry.js'

async function runnerOf(world: ScenarioWorld, n: number): Promise<RunnerStandin> {
  const runner = (await world.system()).bed.runners[n - 1]
  if (runner === undefined) throw new RangeError(`there is no runner ${n}`)
  return runner
}

async function runnerLinkOf(world: ScenarioWorld, n: number): Promise<Link> {
  const link = (await world.system()).bed.runnerLinks[n - 1]
  if (link === undefined) throw new RangeError(`there is no runner ${n}`)
  return link
}

/** Lets a fault end by itself while the scenario goes on. */
export function endAfter(world: ScenarioWorld, seconds: number, end: () => void): void {
  world.pending.push(sleep(seconds * 1_000).then(end))
}

function runnerFault(fault: Partial<RunnerFaults>) {
  return async (world: ScenarioWorld, n: number) => {
    const runner = await runnerOf(world, n)
    runner.switchFaults(fault)
  }
}

/** Faults of the store. */
const storeSteps: Steps = {
  'the store is down': async world => {
    const { bed } = await world.system()
    bed.table.faults.down = true
  },
  'the store is down for {float} second(s)': async (world, seconds: number) => {
    const { faults } = (await world.system()).bed.table
    faults.down = true
    endAfter(world, seconds, () => (faults.down = false))
  },
  'the store answers again': async world => {
    const { faults } = (await world.system()).bed.table
    Object.assign(faults, { down: false, silent: false, slowMs: 0 })
  },
  'the store goes silent for {float} second(s)': async (world, seconds: number) => {
    const { faults } = (await world.system()).bed.table
    faults.silent = true
    endAfter(world, seconds, () => (faults.silent = false))
  },
  'the store answers late by {int} ms': async (world, ms: number) => {
    const { bed } = await world.system()
    bed.table.faults.slowMs = ms
  },
  'the store loses {int} percent of its answers': async (world, percent: number) => {
    const { bed } = await world.system()
    bed.table.faults.loseAnswers = { probability: percent / 100, seed: world.spec.seed }
  },
  'the store loses {int} percent of its answers for {float} second(s)': async (
    world,
    percent: number,
    seconds: number,
  ) => {
    const { faults } = (await world.system()).bed.table
    faults.loseAnswers = { probability: percent / 100, seed: world.spec.seed }
    endAfter(world, seconds, () => (faults.loseAnswers = { next: 0 }))
  },
}

/** Faults of entry hosts and links. */
const entrySteps: Steps = {
  'entry host {int} is frozen for {float} second(s)': async (world, n: number, seconds: number) => {
    const { program } = entryOf((await world.system()).bed.entries, n)
    program.kill('SIGSTOP')
    endAfter(world, seconds, () => {
      program.kill('SIGCONT')
    })
  },
  'entry host {int} is killed': async (world, n: number) => {
    const system = await world.system()
    system.isSpent = true
    const { program } = entryOf(system.bed.entries, n)
    program.kill('SIGKILL')
    await program.ended()
  },
  'entry host {int} is replaced': async (world, n: number) => {
    const { bed } = await world.system()
    const { id, zone } = entryOf(bed.entries, n)
    await bed.startEntry(id, zone)
    await bed.ready()
  },
  'entry host {int} is told to stop': async (world, n: number) => {
    const system = await world.system()
    system.isSpent = true
    const { program } = entryOf(system.bed.entries, n)
    program.kill('SIGTERM')
    world.exits.push(program.ended())
  },
  'the link between entry host {int} and the store is cut': async (world, n: number) => {
    const { storeLink } = entryOf((await world.system()).bed.entries, n)
    storeLink.cut()
  },
  'the link between entry host {int} and the store goes silent': async (world, n: number) => {
    const { storeLink } = entryOf((await world.system()).bed.entries, n)
    storeLink.silence()
  },
  'the link to runner {int} is cut for {float} second(s)': async (
    world,
    n: number,
    seconds: number,
  ) => {
    const link = await runnerLinkOf(world, n)
    link.cut()
    endAfter(world, seconds, () => {
      link.heal()
    })
  },
  'the open connections to runner {int} are cut': async (world, n: number) => {
    const link = await runnerLinkOf(world, n)
    link.cut()
    link.heal()
  },
  'open connections to runner {int} go silent': async (world, n: number) => {
    const link = await runnerLinkOf(world, n)
    link.silenceOpen()
  },
}

/** Faults of runners. */
const runnerSteps: Steps = {
  'runner {int} answers late by {int} ms': async (world, n: number, lateMs: number) => {
    const runner = await runnerOf(world, n)
    runner.switchFaults({ lateMs })
  },
  'runner {int} answers crossed': runnerFault({ crossed: true }),
  'every runner answers crossed': async world => {
    for (const runner of (await world.system()).bed.runners) runner.switchFaults({ crossed: true })
  },
  'runner {int} answers cut in half': runnerFault({ cut: true }),
  'runner {int} closes connections when the work starts': runnerFault({ cutBefore: true }),
  'runner {int} refuses everything': runnerFault({ refuse: true }),
  'runner {int} fails everything': runnerFault({ failAll: true }),
  'runner {int} is {int} times slower': async (world, n: number, slowFactor: number) => {
    const runner = await runnerOf(world, n)
    runner.switchFaults({ slowFactor })
  },
  'runner {int} is frozen for {float} second(s)': async (world, n: number, seconds: number) => {
    const runner = await runnerOf(world, n)
    runner.switchFaults({ freeze: true })
    endAfter(world, seconds, () => {
      runner.switchFaults({ freeze: false })
    })
  },
  'runner {int} answers correctly again': runnerFault({
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
    system.isSpent = true
    const runner = await runnerOf(world, n)
    await runner.close()
  },
  'runner {int} shuts down gracefully': async (world, n: number) => {
    const system = await world.system()
    system.isSpent = true
    const runner = await runnerOf(world, n)
    world.acceptedAt.set(`shutdown of r${n}`, performance.now())
    world.pending.push(runner.shutdown(shutdownGraceMs))
  },
}

/** Time for which a runner in graceful shutdown accepts work before it refuses, in milliseconds. */
const shutdownGraceMs = 6_000

/** All steps that cause a fault. */
export const faultSteps: Steps = { ...storeSteps, ...entrySteps, ...runnerSteps }
