import fc from 'fast-check'
import { JobExecution, type Step, type Task } from '@bulrushbridge/scheduler'
import t from 'tap'
import { createAllocation, type Allocation } from '../src/allocation.js'
import { RunnerAllocations } from '../src/runner-allocations.js'

const amounts = { cpuMillis: 500, memoryMb: 100, accelerators: 0 }
const capacity = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 }

const steps: Step[] = [
  { count: 4, amounts, estimateMs: 100 },
  { count: 4, amounts, estimateMs: 100, isLasting: true, targetMs: 50 },
  { count: 4, amounts, estimateMs: 100, isFiller: true },
]

/** A job of 12 tasks, each with a run. */
function startedTasks(): Task[] {
  const job = new JobExecution({ id: 'j', queue: 'q', payload: '', steps, acceptedAt: 0 })
  job.openDueOccurrences(0)
  const tasks = job.startableSteps().flatMap(step => [...step.tasks])
  for (const task of tasks) job.beginRun(task, 'r1', 1)
  return tasks
}

// Guards against sums that drift from the allocations, as they are not counted anew in each pass.
void t.test('sums follow every order of additions and removals', t => {
  const operations = fc.array(fc.tuple(fc.nat(11), fc.constantFrom('add', 'remove', 'capacity')), {
    maxLength: 60,
  })
  fc.assert(
    fc.property(operations, list => {
      const tasks = startedTasks()
      const load = new RunnerAllocations()
      load.setCapacity(capacity)
      const expected = new Map<number, Allocation>()
      for (const [index, what] of list) {
        const allocation = expected.get(index) ?? createAllocation(tasks[index], 1)
        if (what === 'capacity') load.setCapacity(capacity)
        else if (what === 'add') {
          load.add(allocation)
          expected.set(index, allocation)
        } else {
          load.remove(allocation)
          expected.delete(index)
        }
      }
      const counted = new Map<string, number>()
      let cpuMillis = capacity.cpuMillis
      for (const { task, amounts } of expected.values()) {
        const name = task?.step.name ?? ''
        counted.set(name, (counted.get(name) ?? 0) + 1)
        cpuMillis -= amounts.cpuMillis
      }
      t.strictSame(new Map([...load.tasksByStep].sort()), new Map([...counted].sort()))
      t.equal(load.free.cpuMillis, cpuMillis)
      t.equal(load.servingTasks, counted.get('j.0.1') ?? 0)
      t.equal(load.fillerTasks, counted.get('j.0.2') ?? 0)
    }),
    { seed: 5, numRuns: 100 },
  )
  t.end()
})
