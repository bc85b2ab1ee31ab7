import {
  createOperatorView,
  acceptedJobsTable,
  partOf,
  progressTable,
  type SchedulerConfiguration,
  type JobDefinition,
  type Machine,
  type MachineApi,
  type Progress,
  type RunnerEntry,
  type Step,
  type UpkeepWave,
} from '@bulrushbridge/scheduler'
import {
  createMemoryRunner,
  createMemoryStore,
  type MemoryRunner,
  type MemoryStore,
} from '@bulrushbridge/standins'
import { createLogger, createMetrics, type Logger, type Metrics } from '@bulrushbridge/telemetry'
import { createDispatcher, type Dispatcher, type RunnerConnections } from '../src/index.js'

export const queueName = 'finder'

/** Lease of the dispatcher under test, in ms; short, so that a takeover does not take long. */
const dispatcherLeaseMs = 150

/** Timing of the dispatcher under test; leases are short, so that tests can await their end. */
export const timing = {
  dispatcherLeaseMs,
  runnerLeaseMs: 300,
  maxRunnerLeaseMs: 300,
  pollWaitMs: 40,
  suspendedMs: 200,
  machineOrderGapMs: 0,
  moveMs: 20,
  upkeepMs: 20,
  statusKeptMs: 1_000,
}

export const oneTask: Step = {
  count: 1,
  amounts: { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 },
  estimateMs: 100,
}

/** A deployment in memory, with one pool. */
export interface Fleet {
  store: MemoryStore
  runners: Map<string, MemoryRunner>
  /** Metrics of all dispatchers. */
  metrics: Metrics
  cfg: SchedulerConfiguration
  start(holder: string, opts?: { startsPerSecond?: number }): Dispatcher
  addRunner(id: string, entry?: Partial<RunnerEntry>): Promise<MemoryRunner>
  /** Removes the registry entry of a runner, which runs on. */
  removeRunner(id: string): Promise<void>
  submit(id: string, steps: readonly Step[], organisation?: string): Promise<void>
  cancel(id: string): Promise<void>
  progress(id: string): Promise<Progress | undefined>
  setZoneOut(zone: string): void
  addWave(wave: UpkeepWave): void
}

/** Options of {@link createFleet}. */
export interface FleetOptions {
  cfg?: Partial<SchedulerConfiguration>
  waves?: UpkeepWave[]
  machines?: MachineApi<Machine>
  /** Decodes the value of an entry of the registry; by default it is taken as it is. */
  decodeRunner?: (value: unknown) => RunnerEntry | undefined
  /** Connects a term to its runners; by default it calls the runners in memory itself. */
  connectRunners?: (fleet: Pick<Fleet, 'store' | 'runners'>) => RunnerConnections
  /** Orders to machines that the platform accepts a second. */
  machineOrdersPerSecond?: number
  /** Least time between orders of two dispatchers for one machine, in milliseconds. */
  machineLeaseMs?: number
  /** Lease of the dispatcher, for tests in which it must not expire, in milliseconds. */
  dispatcherLeaseMs?: number
  /** Log of all dispatchers; silent by default. */
  log?: Logger
}

/** Creates a deployment; runners and dispatchers are added by its methods. */
export function createFleet(opts: FleetOptions = {}): Fleet {
  const store = createMemoryStore()
  const runners = new Map<string, MemoryRunner>()
  const cfg = { ...configuration, ...opts.cfg }
  const view = createOperatorView({
    decoders: {
      configurationKey: 'config',
      configuration: value => value as SchedulerConfiguration,
      withdrawnZoneOf: key => (key.startsWith('out/') ? key.slice(4) : undefined),
      wave: (_key, value) => value as UpkeepWave,
    },
    onApplied: () => undefined,
    onUnreadable: () => undefined,
  })
  view.applyChanges([
    { key: 'config', value: cfg, isDeleted: false },
    ...(opts.waves ?? []).map(wave => ({ key: `wave/${wave.id}`, value: wave, isDeleted: false })),
  ])
  const { log = createLogger({ program: 'test', level: 'silent' }) } = opts
  const metrics = createMetrics()
  return {
    store,
    runners,
    metrics,
    cfg,
    start: (holder, startOpts = {}) =>
      createDispatcher({
        ...startOpts,
        store,
        holder,
        timing: {
          ...timing,
          dispatcherLeaseMs: opts.dispatcherLeaseMs ?? timing.dispatcherLeaseMs,
          machineOrderGapMs: opts.machineLeaseMs ?? timing.machineOrderGapMs,
        },
        view,
        runners: {
          table: 'servers',
          decode: (_id, value) => (opts.decodeRunner ?? asRunnerEntry)(value),
        },
        connectRunners: () =>
          opts.connectRunners?.({ store, runners }) ?? {
            createRunner: ({ runnerId }) => (runners.get(runnerId) ?? createMemoryRunner()).api(),
            close: () => Promise.resolve(),
          },
        machines: opts.machines,
        machineOrdersPerSecond: opts.machineOrdersPerSecond,
        advice: undefined,
        waveStatusRow: (wave, state) => ({
          table: 'status',
          key: `wave/${wave}`,
          value: { state },
        }),
        log,
        metrics,
      }),
    addRunner: async (id, entry = {}) => {
      const runner = runners.get(id) ?? createMemoryRunner()
      runners.set(id, runner)
      const value: RunnerEntry = {
        ...runnerEntry,
        id,
        address: id,
        startedAt: runner.processStartedAt,
        ...entry,
      }
      await store.commit({ checks: [], writes: [{ table: 'servers', key: id, value }] })
      return runner
    },
    removeRunner: async id => {
      const write = { table: 'servers', key: id, value: null }
      await store.commit({ checks: [], writes: [write] })
    },
    submit: async (id, steps, organisation) => {
      const job: JobDefinition = {
        id,
        queue: queueName,
        payload: 'payload',
        steps: [...steps],
        acceptedAt: Date.now(),
        ...(organisation === undefined ? {} : { organisation }),
      }
      const progress: Progress = { status: 'queued', queue: queueName }
      const part = partOf(id)
      await store.commit(
        {
          checks: [],
          writes: [
            { table: acceptedJobsTable, part, key: id, value: job },
            { table: progressTable, part, key: id, value: progress },
          ],
        },
        { part },
      )
    },
    cancel: async id => {
      const part = partOf(id)
      const write = { table: acceptedJobsTable, part, key: `${id}.cancel`, value: 1 }
      await store.commit({ checks: [], writes: [write] }, { part })
    },
    progress: async id => {
      const row = await store.read<Progress>(progressTable, id, { part: partOf(id) })
      return row?.value
    },
    addWave: wave => {
      view.applyChanges([{ key: `wave/${wave.id}`, value: wave, isDeleted: false }])
    },
    setZoneOut: zone => {
      view.applyChanges([{ key: `out/${zone}`, value: {}, isDeleted: false }])
    },
  }
}

/** Holds the writes of a job until they are released; counts them. */
export function holdWrites(
  store: MemoryStore,
  jobId: string,
): { readonly held: number; release: () => void } {
  const commit = store.commit.bind(store)
  let release: () => void = () => undefined
  const released = new Promise<void>(resolve => (release = resolve))
  const writes = { held: 0, release }
  store.commit = async (tx, opts) => {
    if (tx.writes.some(({ key }) => key === jobId)) {
      writes.held += 1
      await released
    }
    return commit(tx, opts)
  }
  return writes
}

const asRunnerEntry = (value: unknown) => value as RunnerEntry

const runnerEntry: Omit<RunnerEntry, 'id' | 'address' | 'startedAt'> = {
  pool: 'pool',
  zone: 'zone-a',
  isDraining: false,
  capacity: { cpuMillis: 4_000, memoryMb: 4_000, accelerators: 0 },
  labels: ['kind', 'rack-1'],
}

const configuration: SchedulerConfiguration = {
  version: 1,
  queues: [
    {
      name: queueName,
      hostName: 'finder.example',
      pathPrefix: '/finder/',
      pool: 'pool',
      priority: 0,
      maxAttempts: 2,
      stretch: 2,
      targetLatencyMs: 500,
      isAnonymousAllowed: true,
      advice: undefined,
    },
  ],
  pools: [{ name: 'pool', isSpare: false }],
  organisations: [],
  maxBodyBytes: 10_000,
}
