import { seededRandom } from '../packages/standins/src/index.js'
import {
  createAdmission,
  type Admission,
  type StartRefusal,
} from '../packages/admission/src/index.js'
import {
  createFairQueue,
  createFleetShare,
  createHeapHandle,
  IndexedHeap,
  type FairQueue,
  type FleetShare,
} from '../packages/team-share/src/index.js'

/** One measured figure. */
export interface ShareRecord {
  name: string
  unit: string
  seed: number
  value: number
  target?: number
}

/** How a run is served: this project's admission, or a baseline. */
type Policy = 'random' | 'fifo' | 'charge' | 'quota' | 'quota-deadline'

const poolSlots = 64
const runnerCount = 8
const exchangeMs = 500
const retryMs = 20

/** Shares, request lengths, part of the offered load, and how it leans towards some entry hosts. */
const teamList = [
  { name: 'a', share: 8, meanMs: 40, load: 0.3, lean: 0 },
  { name: 'b', share: 4, meanMs: 200, load: 0.25, lean: 1 },
  { name: 'c', share: 2, meanMs: 20, load: 0.1, lean: 2 },
  { name: 'd', share: 1, meanMs: 100, load: 0.15, lean: 0 },
  { name: 'e', share: 1, meanMs: 10, load: 0.2, lean: 3 },
] as const

interface Options {
  policy: Policy
  seed: number
  hosts: number
  /** Offered load in pool capacities at a time. */
  loadAt: (ms: number) => number
  endMs: number
  /** Mean time from arrival to deadline; spread over a quarter to seven quarters of it. */
  deadlineMs: number
  /** Usage is counted from `fromMs` up to `toMs`. */
  fromMs: number
  toMs: number
}

interface Outcome {
  used: Record<string, number>
  goodSlotMs: number
  accepted: number
  late: number
  p99Ms: number
}

interface Request {
  team: string
  arrived: number
  deadline: number
  lengthMs: number
}

interface Host {
  running: number
  seen: number[]
  enter: (req: Request) => void
  pump: () => void
  exchange: () => void
}

async function run(opts: Options): Promise<Outcome> {
  const rng = seededRandom(opts.seed)
  const events = new IndexedHeap<{ at: number; seq: number; act: () => void }>(
    (a, b) => a.at < b.at || (a.at === b.at && a.seq < b.seq),
  )
  let now = 0
  let seq = 0
  let busy = 0
  const after = (ms: number, act: () => void) => {
    events.push(createHeapHandle({ at: now + ms, seq: seq++, act }))
  }
  const used: Record<string, number> = Object.fromEntries(teamList.map(team => [team.name, 0]))
  const waits: number[] = []
  const out: Outcome = { used, goodSlotMs: 0, accepted: 0, late: 0, p99Ms: 0 }
  const overlap = (from: number, to: number) =>
    Math.max(0, Math.min(to, opts.toMs) - Math.max(from, opts.fromMs))
  const hosts: Host[] = []

  /** Runs a request that holds a slot already. */
  function work(req: Request, done: () => void): void {
    const { team, arrived, lengthMs } = req
    const inTime = now + lengthMs <= req.deadline
    const slotMs = overlap(now, now + lengthMs)
    used[team] = (used[team] ?? 0) + slotMs
    if (slotMs > 0) {
      out.accepted++
      if (inTime) out.goodSlotMs += slotMs
      else out.late++
      waits.push(now + lengthMs - arrived)
    }
    after(lengthMs, done)
  }

  function randomHost(): Host {
    const runners = randomRunners
    return {
      running: 0,
      seen: [],
      pump: () => undefined,
      exchange: () => undefined,
      enter(req) {
        const runner = Math.floor(rng() * runnerCount)
        if ((runners[runner] ?? 0) >= poolSlots / runnerCount) return
        runners[runner] = (runners[runner] ?? 0) + 1
        work(req, () => {
          runners[runner] = (runners[runner] ?? 0) - 1
        })
      },
    }
  }
  const randomRunners = Array.from({ length: runnerCount }, () => 0)

  function fifoHost(): Host {
    const line: Request[] = []
    const host: Host = {
      running: 0,
      seen: [],
      exchange: () => undefined,
      enter(req) {
        line.push(req)
        host.pump()
      },
      pump() {
        while (busy < poolSlots) {
          const next = line.shift()
          if (!next) return
          busy++
          work(next, () => {
            busy--
            host.pump()
          })
        }
      },
    }
    return host
  }

  function fairHost(id: number): Host {
    const shares = new Map(teamList.map(team => [team.name as string, team.share as number]))
    const clock = { now: () => now }
    const queue: FairQueue = createFairQueue({ shares, clock })
    const admission: Admission<object> = createAdmission({
      pool: 'p',
      clock,
      rng,
      slots: () => poolSlots,
      free: () => Math.min(poolSlots - busy, fleet.slots() - host.running),
      tryStart(): object | StartRefusal {
        if (busy >= poolSlots) return 'no-slot'
        busy++
        host.running++
        return {}
      },
      queue,
      shares: () => shares,
      order: opts.policy === 'quota-deadline' ? 'deadline' : 'arrival',
      timers: { set: () => 0, clear: () => undefined },
    })
    const fleet: FleetShare = createFleetShare({
      member: `e${id}`,
      // Charging remote usage keeps the shares as weights, so the allocation sets none.
      queue: opts.policy === 'charge' ? { ...queue, setWeights: () => undefined } : queue,
      clock,
      slots: () => poolSlots,
      shares: () => shares,
      demand: () => admission.demand(),
      roundingPeriod: () => Math.floor(now / 1000),
    })
    const host: Host = {
      running: 0,
      seen: [],
      enter(req) {
        admission.enter({ team: req.team, deadline: req.deadline, requestId: '' }).then(
          start => {
            work(req, () => {
              start.end()
              busy--
              host.running--
              admission.startQueued('slot')
            })
          },
          () => undefined,
        )
      },
      pump: () => {
        admission.startQueued('slot')
      },
      exchange() {
        const demand = admission.demand()
        for (const peer of fleets) if (peer.fleet !== fleet) peer.report(`e${id}`, demand)
        fleet.update()
      },
    }
    fleets.push({
      fleet,
      report(member, demand) {
        fleet.report(member, demand)
        if (opts.policy !== 'charge') return
        for (const entry of demand) queue.charge(entry.team, entry.running * exchangeMs)
      },
    })
    return host
  }
  const fleets: { fleet: FleetShare; report: FleetShare['report'] }[] = []

  for (let id = 0; id < opts.hosts; id++) {
    const host =
      opts.policy === 'random' ? randomHost() : opts.policy === 'fifo' ? fifoHost() : fairHost(id)
    hosts.push(host)
    const exchange = () => {
      host.exchange()
      after(exchangeMs, exchange)
    }
    after((exchangeMs * id) / opts.hosts, exchange)
    const retry = () => {
      host.pump()
      after(retryMs, retry)
    }
    after((retryMs * id) / opts.hosts, retry)
  }
  for (const team of teamList) {
    const arrive = () => {
      const load = opts.loadAt(now) * team.load * poolSlots
      after((-Math.log(1 - rng()) * team.meanMs) / load, arrive)
      // A leaning team sends half of its requests to one entry host.
      const id = team.lean > 0 && rng() < 0.5 ? team.lean : Math.floor(rng() * opts.hosts)
      const lengthMs = team.meanMs * (0.5 + rng())
      const deadline = now + opts.deadlineMs * (0.25 + 1.5 * rng())
      hosts[id % opts.hosts]?.enter({ team: team.name, arrived: now, deadline, lengthMs })
    }
    after(0, arrive)
  }
  for (;;) {
    const next = events.shift()
    if (!next || next.at > opts.endMs) break
    now = next.at
    next.act()
    // Lets the promises of requests that were admitted settle before time moves on.
    await Promise.resolve()
    await Promise.resolve()
  }
  waits.sort((a, b) => a - b)
  out.p99Ms = waits[Math.floor(waits.length * 0.99)] ?? 0
  return out
}

/** Share errors in a full pool and goodput in a burst, per policy and seed. */
export async function measureShares(
  opts: { seeds?: readonly number[]; hosts?: number; policies?: readonly Policy[] } = {},
): Promise<ShareRecord[]> {
  const records: ShareRecord[] = []
  const hosts = opts.hosts ?? 9
  const policies = opts.policies ?? ['random', 'fifo', 'quota']
  for (const seed of opts.seeds ?? [1]) {
    for (const policy of policies) {
      const common = { policy, seed, hosts, deadlineMs: 2000 }
      const full = { ...common, loadAt: () => 4, endMs: 15_000, fromMs: 5000, toMs: 15_000 }
      const { used } = await run(full)
      const total = Object.values(used).reduce((sum, ms) => sum + ms, 0)
      const shareSum = teamList.reduce((sum, team) => sum + team.share, 0)
      for (const { name, share } of teamList) {
        const error = ((used[name] ?? 0) / total / (share / shareSum) - 1) * 100
        records.push({
          name: `${policy}/share-error/${name}`,
          unit: '%',
          seed,
          value: error,
          target: 2,
        })
      }
      const usage = (total / (poolSlots * 10_000)) * 100
      records.push({ name: `${policy}/full-pool-use`, unit: '%', seed, value: usage })
      const burst = await run({
        ...common,
        loadAt: ms => (ms >= 3000 && ms < 8000 ? 2.5 : 0.5),
        endMs: 11_000,
        fromMs: 3000,
        toMs: 8000,
      })
      const goodput = (burst.goodSlotMs / (poolSlots * 5000)) * 100
      records.push(
        { name: `${policy}/burst-goodput`, unit: '%', seed, value: goodput, target: 95 },
        { name: `${policy}/burst-late`, unit: 'requests', seed, value: burst.late, target: 0 },
        { name: `${policy}/burst-p99`, unit: 'ms', seed, value: burst.p99Ms },
      )
    }
  }
  return records
}
