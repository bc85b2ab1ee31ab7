import { noRunnerFaults } from '@bulrushbridge/standins'
import { generateTeamKey } from '@bulrushbridge/team-keys'
import { createJobFleet, type JobFleet } from './job-fleet.js'
import { createRunRecorder, type RunRecorder } from './run-recorder.js'
import { createTestbed, until, type Testbed, type TestbedOptions } from './testbed.js'

/** What the `Given` steps of a scenario ask for. */
export interface SystemSpec {
  seed: number
  zones: number
  entryHosts: number
  runners: number
  slots: number
  limits: Record<string, number>
  /** Control programs, beside the first entry hosts. */
  controls: number
  workers: number
  balancerWaitMs: number
}

/** A key with its id in the document. */
export interface TeamKey {
  id: string
  key: string
}

/** A running system with its recorder, shared by the scenarios of a feature. */
export interface ScenarioSystem {
  readonly spec: string
  readonly bed: Testbed
  readonly recorder: RunRecorder
  readonly jobFleet: JobFleet | undefined
  /** Current key of each team; a withdrawn one is replaced by {@link healSystem}. */
  readonly keys: Record<string, TeamKey>
  /** Teams whose key was withdrawn. */
  readonly withdrawn: Set<string>
  /** Set after a fault that does not heal, such as a killed process or another document. */
  isSpent: boolean
}

/** Teams of every scenario with their shares. */
const teamShares: Record<string, number> = { lamps: 2, mills: 1 }

/** Limit of a team for which the scenario names none: more than all slots together. */
const ampleLimit = 1_000

/** Starts the system that a scenario asks for. */
export async function startSystem(spec: SystemSpec): Promise<ScenarioSystem> {
  const recorder = createRunRecorder()
  const opts: TestbedOptions = {
    seed: spec.seed,
    zones: ['a', 'b', 'c', 'd'].slice(0, spec.zones),
    entryHosts: spec.entryHosts,
    runners: spec.runners,
    slots: spec.slots,
    balancerWaitMs: spec.balancerWaitMs,
    runnerLinks: true,
    peerLinks: true,
    onStart: recorder.onStart,
    teams: Object.entries(teamShares).map(([name, share]) => ({
      name,
      share,
      limit: spec.limits[name] ?? ampleLimit,
    })),
  }
  const bed = await createTestbed(opts)
  const { controls, workers } = spec
  const { zones = [] } = opts
  const { onStart } = recorder
  const jobFleet =
    controls === 0 ? undefined : await createJobFleet({ bed, controls, workers, zones, onStart })
  return {
    spec: JSON.stringify(spec),
    bed,
    recorder,
    jobFleet,
    keys: Object.fromEntries(
      Object.entries(bed.sample.keys).map(([team, key]) => [team, { id: `${team}-1`, key }]),
    ),
    withdrawn: new Set(),
    isSpent: false,
  }
}

/** Ends all parts of a system. */
export async function closeSystem({ bed, jobFleet }: ScenarioSystem): Promise<void> {
  await jobFleet?.close()
  await bed.close()
}

/** Switches every fault off and waits until all entry hosts are ready and nothing runs. */
export async function healSystem(system: ScenarioSystem): Promise<void> {
  const { bed, recorder } = system
  Object.assign(bed.table.faults, { down: false, silent: false, slowMs: 0 })
  bed.table.faults.loseAnswers = { next: 0 }
  for (const entry of bed.entries) {
    entry.storeLink.heal()
    entry.program.kill('SIGCONT')
  }
  await system.jobFleet?.heal()
  for (const link of bed.runnerLinks) link.heal()
  bed.peerNetwork?.heal()
  for (const runner of bed.runners) {
    runner.switchFaults(noRunnerFaults())
  }
  if (system.isSpent) return
  await bed.ready()
  await until(() => recorder.running() === 0)
  await restoreConfiguration(system)
  recorder.clear()
}

/** Zones that some entry host takes for out of service, provisionally or by its configuration. */
async function zonesOutAnywhere({ bed }: ScenarioSystem): Promise<Set<string>> {
  const answers = await Promise.all(bed.entries.map((_, n) => bed.operator(n).get('status')))
  return new Set(answers.flatMap(({ body }) => body.zonesOut as string[]))
}

/** Brings zones back and grants new keys for withdrawn ones. */
async function restoreConfiguration(system: ScenarioSystem): Promise<void> {
  const { bed, keys, withdrawn } = system
  const operator = bed.operator()
  // A host that was cut off may still hold or commit a restriction, so all are asked each time.
  await until(async () => {
    const zones = await zonesOutAnywhere(system).catch(() => undefined)
    for (const zone of zones ?? []) {
      await operator.post(`zones/${zone}/back`).catch(() => undefined)
    }
    return zones?.size === 0
  })
  for (const team of withdrawn) {
    const id = `${team}-${Number(keys[team]?.id.split('-')[1]) + 1}`
    const { key, digest } = generateTeamKey(id)
    await until(
      async () => (await operator.post('keys/grant', { id, team, digest })).status === 200,
    )
    keys[team] = { id, key }
  }
  withdrawn.clear()
}
