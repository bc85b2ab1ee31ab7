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

/** One measured figure of a simulation. */
export interface ShareRecord {
  name: string
  unit: string
  seed: number
  value: number
  /** Upper bound of the amount of the value, or lower bound of the goodput. */
  target?: number
}

/**
 * How requests are served. `random` and `fifo` are baselines without this project's admission: a
 * random runner without a queue, and one queue per entry host in order of arrival. `quota` is the
 * admission with the exchanged allocation. `quota-deadline` also serves the requests of a team by
 * deadline. `charge` keeps the shares as weights and charges each team for its usage at other entry
 * hosts.
 */
type ServingPolicy = 'random' | 'fifo' | 'charge' | 'quota' | 'quota-deadline'

const poolSlots = 64
const runnerCount = 8

/** Interval at which an entry host sends its demand to the others. */
const exchangeIntervalMs = 500

/** Interval at which an entry host tries to start queued requests. */
const retryIntervalMs = 20

/**
 * Teams with their mean request duration and fraction of the offered load. Unless `preferredHost`
 * is 0, half of a team's requests go to the entry host with that index and the others to random
 * ones.
 */
const teams = [
  { name: 'a', share: 8, meanDurationMs: 40, loadFraction: 0.3, preferredHost: 0 },
  { name: 'b', share: 4, meanDurationMs: 200, loadFraction: 0.25, preferredHost: 1 },
  { name: 'c', share: 2, meanDurationMs: 20, loadFraction: 0.1, preferredHost: 2 },
  { name: 'd', share: 1, meanDurationMs: 100, loadFraction: 0.15, preferredHost: 0 },
  { name: 'e', share: 1, meanDurationMs: 10, loadFraction: 0.2, preferredHost: 3 },
] as const

/** Options of {@link simulate}. Times are simulated and start at 0. */
interface RunOptions {
  policy: ServingPolicy
  seed: number
  entryHostCount: number
  /** Returns the offered load at a time, as a multiple of the pool's capacity. */
  loadAt: (ms: number) => number
  endMs: number
  /** Mean time from arrival to deadline; each is between a quarter and seven quarters of it. */
  deadlineMs: number
  /** Start of the measured time. */
  fromMs: number
  /** End of the measured time. */
  toMs: number
}

/** Sums over the requests that ran in the measured time. */
interface RunOutcome {
  slotMsByTeam: Record<string, number>
  /** Slot time of requests that met their deadline. */
  goodputSlotMs: number
  startedRequests: number
  /** Requests that ended after their deadline. */
  lateRequests: number
  /** 99th percentile of the time from arrival to end. */
  p99Ms: number
}

/** A request; times are in milliseconds. */
interface SimulatedRequest {
  team: string
  arrivedAt: number
  deadline: number
  durationMs: number
}

/** An entry host under one of the policies. */
interface SimulatedEntryHost {
  /** Requests that run now. */
  running: number
  seen: number[]
  submit: (req: SimulatedRequest) => void
  /** Starts the queued requests for which a slot is free. */
  startQueued: () => void
  /** Reports the demand to the other entry hosts and updates the allocation. */
  exchangeDemand: () => void
}

/** Simulates the entry hosts of one pool with discrete events. */
async function simulate(opts: RunOptions): Promise<RunOutcome> {
  const rng = seededRandom(opts.seed)
  const events = new IndexedHeap<{ at: number; seq: number; action: () => void }>(
    (a, b) => a.at < b.at || (a.at === b.at && a.seq < b.seq),
  )
  let now = 0
  let seq = 0
  let busySlots = 0
  const schedule = (ms: number, action: () => void) => {
    events.push(createHeapHandle({ at: now + ms, seq: seq++, action }))
  }
  const slotMsByTeam: Record<string, number> = Object.fromEntries(teams.map(team => [team.name, 0]))
  const latenciesMs: number[] = []
  const outcome: RunOutcome = {
    slotMsByTeam,
    goodputSlotMs: 0,
    startedRequests: 0,
    lateRequests: 0,
    p99Ms: 0,
  }
  const computeMeasuredMs = (from: number, to: number) =>
    Math.max(0, Math.min(to, opts.toMs) - Math.max(from, opts.fromMs))
  const hosts: SimulatedEntryHost[] = []

  /** Runs a request for which a slot is already reserved. */
  function runRequest(req: SimulatedRequest, onEnd: () => void): void {
    const { team, arrivedAt, durationMs } = req
    const isInTime = now + durationMs <= req.deadline
    const slotMs = computeMeasuredMs(now, now + durationMs)
    slotMsByTeam[team] = (slotMsByTeam[team] ?? 0) + slotMs
    if (slotMs > 0) {
      outcome.startedRequests++
      if (isInTime) outcome.goodputSlotMs += slotMs
      else outcome.lateRequests++
      latenciesMs.push(now + durationMs - arrivedAt)
    }
    schedule(durationMs, onEnd)
  }

  function createRandomHost(): SimulatedEntryHost {
    const runners = runningByRunner
    return {
      running: 0,
      seen: [],
      startQueued: () => undefined,
      exchangeDemand: () => undefined,
      submit(req) {
        const runner = Math.floor(rng() * runnerCount)
        if ((runners[runner] ?? 0) >= poolSlots / runnerCount) return
        runners[runner] = (runners[runner] ?? 0) + 1
        runRequest(req, () => {
          runners[runner] = (runners[runner] ?? 0) - 1
        })
      },
    }
  }
  const runningByRunner = Array.from({ length: runnerCount }, () => 0)

  function createFifoHost(): SimulatedEntryHost {
    const queue: SimulatedRequest[] = []
    const host: SimulatedEntryHost = {
      running: 0,
      seen: [],
      exchangeDemand: () => undefined,
      submit(req) {
        queue.push(req)
        host.startQueued()
      },
      startQueued() {
        while (busySlots < poolSlots) {
          const next = queue.shift()
          if (!next) return
          busySlots++
          runRequest(next, () => {
            busySlots--
            host.startQueued()
          })
        }
      },
    }
    return host
  }

  function createFairHost(id: number): SimulatedEntryHost {
    const shares = new Map(teams.map(team => [team.name as string, team.share as number]))
    const clock = { now: () => now }
    const queue: FairQueue = createFairQueue({ shares, clock })
    const admission: Admission<object> = createAdmission({
      pool: 'p',
      clock,
      rng,
      slots: () => poolSlots,
      free: () => Math.min(poolSlots - busySlots, fleet.slots() - host.running),
      tryStart(): object | StartRefusal {
        if (busySlots >= poolSlots) return 'no-slot'
        busySlots++
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
      // With `charge` the weights remain the shares, so the allocation must not set them.
      queue: opts.policy === 'charge' ? { ...queue, setWeights: () => undefined } : queue,
      clock,
      slots: () => poolSlots,
      shares: () => shares,
      demand: () => admission.demand(),
      roundingPeriod: () => Math.floor(now / 1000),
    })
    const host: SimulatedEntryHost = {
      running: 0,
      seen: [],
      submit(req) {
        admission.enter({ team: req.team, deadline: req.deadline, requestId: '' }).then(
          admitted => {
            runRequest(req, () => {
              admitted.end()
              busySlots--
              host.running--
              admission.startQueued('slot')
            })
          },
          () => undefined,
        )
      },
      startQueued: () => {
        admission.startQueued('slot')
      },
      exchangeDemand() {
        const demand = admission.demand()
        for (const peer of peers) if (peer.fleet !== fleet) peer.report(`e${id}`, demand)
        fleet.update()
      },
    }
    peers.push({
      fleet,
      report(member, demand) {
        fleet.report(member, demand)
        if (opts.policy !== 'charge') return
        for (const entry of demand) queue.charge(entry.team, entry.running * exchangeIntervalMs)
      },
    })
    return host
  }
  const peers: { fleet: FleetShare; report: FleetShare['report'] }[] = []

  for (let id = 0; id < opts.entryHostCount; id++) {
    const host =
      opts.policy === 'random'
        ? createRandomHost()
        : opts.policy === 'fifo'
          ? createFifoHost()
          : createFairHost(id)
    hosts.push(host)
    const exchange = () => {
      host.exchangeDemand()
      schedule(exchangeIntervalMs, exchange)
    }
    schedule((exchangeIntervalMs * id) / opts.entryHostCount, exchange)
    const retry = () => {
      host.startQueued()
      schedule(retryIntervalMs, retry)
    }
    schedule((retryIntervalMs * id) / opts.entryHostCount, retry)
  }
  for (const team of teams) {
    const arrive = () => {
      const offeredSlots = opts.loadAt(now) * team.loadFraction * poolSlots
      schedule((-Math.log(1 - rng()) * team.meanDurationMs) / offeredSlots, arrive)
      // A team with a preferred host sends half of its requests there.
      const id =
        team.preferredHost > 0 && rng() < 0.5
          ? team.preferredHost
          : Math.floor(rng() * opts.entryHostCount)
      const durationMs = team.meanDurationMs * (0.5 + rng())
      const deadline = now + opts.deadlineMs * (0.25 + 1.5 * rng())
      hosts[id % opts.entryHostCount]?.submit({
        team: team.name,
        arrivedAt: now,
        deadline,
        durationMs,
      })
    }
    schedule(0, arrive)
  }
  for (;;) {
    const next = events.shift()
    if (!next || next.at > opts.endMs) break
    now = next.at
    next.action()
    // Lets the promises of admitted requests settle before the simulated time advances.
    await Promise.resolve()
    await Promise.resolve()
  }
  latenciesMs.sort((a, b) => a - b)
  outcome.p99Ms = latenciesMs[Math.floor(latenciesMs.length * 0.99)] ?? 0
  return outcome
}

/**
 * Simulates a full pool and a burst for each policy and seed. Measures the error of each team's
 * share and the use of the full pool, and the goodput, late requests and latency in the burst.
 */
export async function measureShares(
  opts: { seeds?: readonly number[]; hosts?: number; policies?: readonly ServingPolicy[] } = {},
): Promise<ShareRecord[]> {
  const records: ShareRecord[] = []
  const entryHostCount = opts.hosts ?? 9
  const policies = opts.policies ?? ['random', 'fifo', 'quota']
  for (const seed of opts.seeds ?? [1]) {
    for (const policy of policies) {
      const commonOptions = { policy, seed, entryHostCount, deadlineMs: 2000 }
      const fullPool = {
        ...commonOptions,
        loadAt: () => 4,
        endMs: 15_000,
        fromMs: 5000,
        toMs: 15_000,
      }
      const { slotMsByTeam } = await simulate(fullPool)
      const totalSlotMs = Object.values(slotMsByTeam).reduce((sum, ms) => sum + ms, 0)
      const shareSum = teams.reduce((sum, team) => sum + team.share, 0)
      for (const { name, share } of teams) {
        const errorPercent =
          ((slotMsByTeam[name] ?? 0) / totalSlotMs / (share / shareSum) - 1) * 100
        records.push({
          name: `${policy}/share-error/${name}`,
          unit: '%',
          seed,
          value: errorPercent,
          target: 2,
        })
      }
      const poolUsePercent = (totalSlotMs / (poolSlots * 10_000)) * 100
      records.push({ name: `${policy}/full-pool-use`, unit: '%', seed, value: poolUsePercent })
      const burst = await simulate({
        ...commonOptions,
        loadAt: ms => (ms >= 3000 && ms < 8000 ? 2.5 : 0.5),
        endMs: 11_000,
        fromMs: 3000,
        toMs: 8000,
      })
      const goodputPercent = (burst.goodputSlotMs / (poolSlots * 5000)) * 100
      records.push(
        { name: `${policy}/burst-goodput`, unit: '%', seed, value: goodputPercent, target: 95 },
        {
          name: `${policy}/burst-late`,
          unit: 'requests',
          seed,
          value: burst.lateRequests,
          target: 0,
        },
        { name: `${policy}/burst-p99`, unit: 'ms', seed, value: burst.p99Ms },
      )
    }
  }
  return records
}
