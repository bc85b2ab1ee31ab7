import t from 'tap'
import type { TaskRow, WorkerRow } from '@bulrushbridge/host'
import { seededRandom } from '@bulrushbridge/standins'
import { freeResourcesByWorker, sumResources } from '../src/work-resources.js'
import { chooseReclaim, type ReclaimableTask } from '../src/choose-reclaim.js'
import { TeamShareLevels } from '../src/team-share-levels.js'

const size = (cpus: number) => ({ cpus, memoryMb: cpus, accelerators: 0 })

const workers: WorkerRow[] = ['w1', 'w2'].map(id => ({
  id,
  pool: 'batch',
  rack: id,
  zone: 'a',
  address: '127.0.0.1:1',
  ...size(8),
}))

function running(team: string, worker: string, cpus: number, ageMs: number): ReclaimableTask {
  const taskId = `${team}-${worker}-${ageMs}`
  const row = { taskId, team, worker, ...size(cpus) } as TaskRow
  return { row, ageMs }
}

function choose(tasks: ReclaimableTask[], team: string, cpus: number) {
  const rows = tasks.map(({ row }) => row)
  const capacity = sumResources(workers)
  const levels = new TeamShareLevels({
    capacity,
    shares: new Map(),
    usage: rows,
    waitingTeams: [team],
  })
  return chooseReclaim({
    team,
    size: size(cpus),
    workers,
    free: freeResourcesByWorker(workers, rows),
    tasks,
    levels,
  })
}

void t.test('a reclaim stops the newest tasks and no more than the job needs', t => {
  const tasks = [
    ...[50, 40, 30, 20].map(age => running('lamps', 'w1', 2, age)),
    ...[45, 35, 25, 15].map(age => running('lamps', 'w2', 2, age)),
  ]
  const taken = choose(tasks, 'mills', 3)
  t.equal(taken?.worker.id, 'w2', 'the least run time is interrupted there')
  t.same(
    taken?.tasks.map(({ ageMs }) => ageMs),
    [15, 25],
  )
  const mixed = [running('lamps', 'w1', 1, 10), running('lamps', 'w1', 7, 20)]
  const blocked = [...mixed, running('lamps', 'w2', 8, 900)]
  const one = choose(blocked, 'mills', 6)
  t.same(
    one?.tasks.map(({ row }) => row.cpus),
    [7],
    'the newer small task is not needed with the older large one',
  )
  t.end()
})

void t.test('no task of a team at its share or of the same team is stopped', t => {
  const even = [running('lamps', 'w1', 8, 10), running('stones', 'w2', 8, 10)]
  t.equal(choose(even, 'lamps', 1), undefined, 'it has its share')
  const own = [
    ...[10, 20].map(age => running('mills', 'w1', 4, age)),
    ...[10, 20].map(age => running('lamps', 'w2', 4, age)),
  ]
  t.equal(choose(own, 'mills', 4), undefined, 'both have half of the pool')
  t.end()
})

// Reclaims would not end if a task could be stopped although its team is below the level that the
// waiting team reaches: two teams would stop each other's tasks in turn.
void t.test('the number of reclaims is bounded for any sizes of tasks', t => {
  for (let seed = 1; seed <= 100; seed++) {
    const rng = seededRandom(seed)
    let queue = Array.from({ length: 40 }, () => {
      const team = ['lamps', 'mills', 'stones'][Math.floor(rng() * 3)] ?? ''
      return { team, cpus: 1 + Math.floor(rng() * 7) }
    })
    const tasks: ReclaimableTask[] = []
    let reclaims = 0
    for (let round = 0; round < 300; round++) {
      const rows = tasks.map(({ row }) => row)
      const free = freeResourcesByWorker(workers, rows)
      const next = queue.find(job => [...free.values()].some(left => left.cpus >= job.cpus))
      if (next !== undefined) {
        queue = queue.filter(job => job !== next)
        const worker = [...free].find(([, left]) => left.cpus >= next.cpus)?.[0] ?? ''
        tasks.push(running(next.team, worker, next.cpus, 1_000 - round))
        continue
      }
      const job = queue.find(each => choose(tasks, each.team, each.cpus) !== undefined)
      const chosen = job && choose(tasks, job.team, job.cpus)
      if (job === undefined || chosen === undefined) break
      reclaims += 1
      for (const task of chosen.tasks) {
        tasks.splice(tasks.indexOf(task), 1)
        queue.push({ team: task.row.team, cpus: task.row.cpus })
      }
      queue = queue.filter(each => each !== job)
      tasks.push(running(job.team, chosen.worker.id, job.cpus, 1_000 - round))
    }
    t.ok(reclaims < 40, `seed ${seed}: ${reclaims} reclaims`)
  }
  t.end()
})
