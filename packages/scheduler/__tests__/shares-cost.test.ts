import t from 'tap'
import { chooseStarts, createGuaranteedWork, createWeightedShares } from '../src/index.js'
import { createInput, createJob, createRunner, queue, step } from './fixture.js'

const fewJobs = 1_000
const manyJobs = 4_000
/** Most times the cost of four times as many steps; a cost that is linear grows fourfold. */
const maxGrowth = 9
/** Cost that other work of the process may have at any time, in milliseconds. */
const noiseMs = 30
const passes = 10
const organisations = Array.from({ length: 20 }, (_, i) => ({
  name: `org-${i}`,
  weight: 1 + (i % 4),
}))

/** Processor time of some passes over waiting jobs in a pool of 50 runners, in milliseconds. */
function costOf(jobCount: number, isFull: boolean): number {
  const capacity = { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 0 }
  const jobs = Array.from({ length: jobCount }, (_, i) =>
    createJob(`${i}`, {
      organisation: `org-${i % 20}`,
      acceptedAt: -((i * 7) % 20_000),
      steps: [{ ...step, amounts: { ...capacity, cpuMillis: 6_000 + (i % 5) }, count: 8 }],
    }),
  )
  const guaranteed = createGuaranteedWork()
  for (const { definition } of jobs) guaranteed.noteAccepted(definition)
  const free = isFull ? { ...capacity, cpuMillis: 3_000 } : capacity
  const usage = organisations.map(({ name }) => ({
    organisation: name,
    queue: queue.name,
    amounts: { cpuMillis: isFull ? 152_000 : 0, memoryMb: 1_000, accelerators: 0 },
    lasting: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
  }))
  const inputs = Array.from({ length: passes }, () => {
    const runners = Array.from({ length: 50 }, (_, i) =>
      createRunner(`r${i}`, { capacity, free: { ...free } }),
    )
    return { ...createInput(jobs, runners), maxStarts: 200, organisations, usage }
  })
  const before = process.cpuUsage()
  for (const input of inputs) {
    const isGuaranteed = (job: (typeof jobs)[0]['definition'], weight: number) =>
      guaranteed.isGuaranteed(job, weight, 0)
    chooseStarts({ ...input, shares: createWeightedShares({ ...input, isGuaranteed }) })
  }
  return process.cpuUsage(before).user / 1_000
}

// Guards against a pass whose cost grows with the square of the waiting steps; it runs many times a
// second beside the requests of callers.
for (const isFull of [true, false]) {
  void t.test(
    `a pass costs as much for each waiting step, in a ${isFull ? 'full' : 'free'} pool`,
    t => {
      costOf(fewJobs, isFull)
      const few = costOf(fewJobs, isFull)
      const many = costOf(manyJobs, isFull)
      const report = `${few} ms for ${passes} passes over ${fewJobs} steps, ${many} ms over ${manyJobs}`
      t.comment(report)
      t.ok(many < maxGrowth * Math.max(few, noiseMs), report)
      t.end()
    },
  )
}
