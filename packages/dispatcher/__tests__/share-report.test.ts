import {
  createWeightedShares,
  JobExecution,
  type AvailableRunner,
  type JobQueue,
} from '@bulrushbridge/scheduler'
import { createMetrics, type LogFields, type Logger } from '@bulrushbridge/telemetry'
import t from 'tap'
import { createShareReport, type PassShares } from '../src/share-report.js'
import { oneTask } from './fixture.js'

const queue: JobQueue = {
  name: 'finder',
  hostName: 'finder.example',
  pathPrefix: '/',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.6,
  targetLatencyMs: 600,
  isAnonymousAllowed: false,
  advice: undefined,
}
const queues = new Map([[queue.name, queue]])
const capacity = { cpuMillis: 10_000, memoryMb: 10_000, accelerators: 0 }
const runner: AvailableRunner = {
  id: 'r1',
  pool: 'pool',
  rack: 'rack-1',
  labels: [],
  capacity,
  free: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  tasksByStep: new Map(),
  finiteTasks: 10,
  suspicion: 0,
  isExclusive: false,
  servingTasks: 0,
  fillerTasks: 0,
  isLent: false,
  unconfirmedRuns: 0,
}

function createRecorder() {
  const lines: { message: string; fields: LogFields | undefined }[] = []
  const write: Logger['info'] = (message, fields) => {
    lines.push({ message, fields })
  }
  const log: Logger = { debug: write, info: write, warn: write, error: write }
  const metrics = createMetrics()
  return { lines, metrics, report: createShareReport({ log, metrics }) }
}

/** State after a pass in a full pool of ten cores; each organisation uses some and has a waiting job. */
function createPass(
  wallNow: number,
  organisations: readonly { name: string; weight: number; usedCores: number }[],
): PassShares {
  const steps = organisations.flatMap(({ name }) => {
    const job = new JobExecution({
      id: `job-of-${name}`,
      queue: queue.name,
      organisation: name,
      payload: '',
      steps: [{ ...oneTask, count: 20 }],
      acceptedAt: 0,
    })
    job.openDueOccurrences(0)
    return job.startableSteps()
  })
  const shares = createWeightedShares({
    organisations,
    usage: organisations.map(({ name, usedCores }) => ({
      organisation: name,
      queue: queue.name,
      amounts: { cpuMillis: usedCores * 1_000, memoryMb: 0, accelerators: 0 },
      lasting: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    })),
    steps,
    queues,
    runners: [runner],
    allowance: new Map(),
    isGuaranteed: () => true,
  })
  return { shares, steps, queues, wallNow }
}

// Guards against an organisation that is delayed and nobody can see why, and against a line for each pass.
void t.test('the log has one line when a delay starts and one when it has ended', t => {
  const { lines, report } = createRecorder()
  const full = [
    { name: 'org-1', weight: 1, usedCores: 7 },
    { name: 'org-2', weight: 4, usedCores: 3 },
  ]
  for (let wallNow = 0; wallNow < 500; wallNow += 8) report.notePass(createPass(wallNow, full))
  t.same(lines, [
    {
      message: 'organisation delayed',
      fields: {
        organisation: 'org-1',
        pool: 'pool',
        weight: 1,
        share: 0.7,
        guaranteedShare: 0.2,
        isExcess: false,
        ageMs: 0,
      },
    },
  ])
  report.notePass({ wallNow: 1_000 })
  t.equal(lines.length, 1, 'a pass without waiting work does not end the delay yet')
  report.notePass({ wallNow: 1_600 })
  t.same(
    lines.map(({ message }) => message),
    ['organisation delayed', 'organisation no longer delayed'],
  )
  report.notePass(createPass(2_000, [{ name: 'org-1', weight: 1, usedCores: 10 }]))
  t.equal(lines.length, 2, 'nobody is delayed in a pool without others')
  report.close()
  t.end()
})

// Guards against log lines and metric labels that grow with the number of organisations.
void t.test('lines and labels are bounded', t => {
  const { lines, metrics, report } = createRecorder()
  const many = Array.from({ length: 100 }, (_, i) => ({
    name: `org-${i}`,
    weight: 1 + (i % 2),
    usedCores: 5,
  }))
  report.notePass(createPass(0, many))
  t.ok(lines.length > 0 && lines.length <= 16, `${lines.length} lines`)
  for (const name of ['bulrush_organisation_share', 'bulrush_organisation_guaranteed_share']) {
    const samples = metrics
      .render()
      .split('\n')
      .filter(line => line.startsWith(`${name}{`))
    t.equal(samples.length, 32)
    t.equal(samples.filter(line => line.includes('"other"')).length, 1)
  }
  report.close()
  t.notMatch(metrics.render(), /bulrush_organisation_share\{/)
  t.end()
})
