import { noRunnerFaults } from '@bulrushbridge/standins'
import { generateTeamKey } from '@bulrushbridge/team-keys'
import { createJobFleet, type JobFleet } from './job-fleet.js'
import { createRunRecorder, type RunRecorder } from './run-recorder.js'
import { createTestbed, until, type Testbed, type TestbedOptions } from './testbed.js'

/** The system that the `Given` steps of a scenario describe. */
export interface SystemSpec {
  seed: number
  /** Number of availability zones. */
  zones: number
  entryHosts: number
  runners: number
  /** Slots of each runner. */
  slots: number
  /** Upper limits by team. */
  limits: Record<string, number>
  /** Number of control programs; they run beside the first entry hosts. */
  controlPrograms: number
  workers: number
  /** Time for which an entry host waits for the balancer at a shutdown, in milliseconds. */
  balancerWaitMs: number
}

/** A key of a team with its id in the configuration. */
export interface TeamKey {
  id: string
  key: string
}

/** A running system with its recorder; the scenarios of a feature share it. */
export interface ScenarioSystem {
  /** JSON of the {@link SystemSpec} from which the system was started. */
  readonly spec: string
  readonly testbed: Testbed
  readonly recorder: RunRecorder
  /** Control programs and workers; undefined when the scenario has no control programs. */
  readonly jobFleet: JobFleet | undefined
  /** Current key of each team; {@link resetSystem} replaces withdrawn keys. */
  readonly keys: Record<string, TeamKey>
  /** Teams whose current key was withdrawn. */
  readonly withdrawnKeyTeams: Set<string>
  /**
   * Whether {@link resetSystem} cannot undo a fault, such as a killed process or a raised limit.
   * The next scenario then starts a new system.
   */
  isUnrecoverable: boolean
}

/** Shares of the teams that every scenario has. */
const teamShares: Record<string, number> = { lamps: 2, mills: 1 }

/** Upper limit of a team for which the scenario sets none; more than the slots of all runners. */
const defaultTeamLimit = 1_000

/** Starts the system that a scenario describes. */
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
      limit: spec.limits[name] ?? defaultTeamLimit,
    })),
  }
  const testbed = await createTestbed(opts)
  const { controlPrograms, workers } = spec
  const { zones = [] } = opts
  const { onStart } = recorder
  const jobFleet =
    controlPrograms === 0
      ? undefined
      : await createJobFleet({ testbed, controlPrograms, workers, zones, onStart })
  return {
    spec: JSON.stringify(spec),
    testbed,
    recorder,
    jobFleet,
    keys: Object.fromEntries(
      Object.entries(testbed.sample.keys).map(([team, key]) => [team, { id: `${team}-1`, key }]),
    ),
    withdrawnKeyTeams: new Set(),
    isUnrecoverable: false,
  }
}

/** Closes all parts of a system. */
export async function closeSystem({ testbed, jobFleet }: ScenarioSystem): Promise<void> {
  await jobFleet?.close()
  await testbed.close()
}

/**
 * Switches all faults off, waits until all entry hosts are ready and no request runs, and restores
 * the configuration. For an unrecoverable system it only switches the faults off.
 */
export async function resetSystem(system: ScenarioSystem): Promise<void> {
  const { testbed, recorder } = system
  Object.assign(testbed.table.faults, { down: false, silent: false, slowMs: 0 })
  testbed.table.faults.loseAnswers = { next: 0 }
  for (const entry of testbed.entries) {
    entry.storeLink.heal()
    entry.program.kill('SIGCONT')
  }
  await system.jobFleet?.restore()
  for (const link of testbed.runnerLinks) link.heal()
  testbed.peerNetwork?.heal()
  for (const runner of testbed.runners) {
    runner.switchFaults(noRunnerFaults())
  }
  if (system.isUnrecoverable) return
  await testbed.waitUntilReady()
  await until(() => recorder.countRunning() === 0)
  await restoreConfiguration(system)
  recorder.clear()
}

/**
 * Returns the zones that at least one entry host treats as out of service, provisionally or by its
 * configuration.
 */
async function findZonesOut({ testbed }: ScenarioSystem): Promise<Set<string>> {
  const responses = await Promise.all(
    testbed.entries.map((_, n) => testbed.operator(n).get('status')),
  )
  return new Set(responses.flatMap(({ body }) => body.zonesOut as string[]))
}

/** Brings zones back into service and grants a new key to each team whose key was withdrawn. */
async function restoreConfiguration(system: ScenarioSystem): Promise<void> {
  const { testbed, keys, withdrawnKeyTeams } = system
  const operator = testbed.operator()
  // A host that was cut off may still apply or commit a restriction, so every host is asked again
  // in each pass.
  await until(async () => {
    const zones = await findZonesOut(system).catch(() => undefined)
    for (const zone of zones ?? []) {
      await operator.post(`zones/${zone}/back`).catch(() => undefined)
    }
    return zones?.size === 0
  })
  for (const team of withdrawnKeyTeams) {
    const id = `${team}-${Number(keys[team]?.id.split('-')[1]) + 1}`
    const { key, digest } = generateTeamKey(id)
    await until(
      async () => (await operator.post('keys/grant', { id, team, digest })).status === 200,
    )
    keys[team] = { id, key }
  }
  withdrawnKeyTeams.clear()
}
