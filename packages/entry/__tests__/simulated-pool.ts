import { createAdmission, type Admission, type AdmittedRequest } from '@bulrushbridge/admission'
import { seededRandom } from '@bulrushbridge/standins'
import { createFairQueue, createFleetShare, type FleetShare } from '@bulrushbridge/team-share'
import { RequestError } from '@bulrushbridge/errors'
import type {
  UpstreamClient,
  SendHooks,
  UpstreamResponse,
  UpstreamRequest,
} from '@bulrushbridge/upstream-link'
import {
  createRetryBudget,
  createRouter,
  dispatch,
  computeRunnerQuotas,
  maxRequestsPerRunner,
  type Reservation,
} from '@bulrushbridge/upstream-routing'
import { Readable } from 'node:stream'

const slots = 8
const workMs = 100
const runnerCount = 8
const deadlineMs = 1_000
/** Network delay between an entry host and a runner in one direction, in milliseconds. */
const networkDelayMs = 1.5
const exchangeIntervalMs = 500
const shareUpdateIntervalMs = 100
/**
 * Time from the end of work until an entry host that gave it up knows of the end, in milliseconds.
 */
const settleNoticeMs = 200
/** Delay after which a passed deadline is noticed, in milliseconds. */
const deadlineNoticeMs = 10

/** Result of a simulation, measured after the warm-up. */
export interface PoolResult {
  /** Answers in time, in percent of those that runners without idle slots would give. */
  goodput: number
  /** Requests that were started but not answered in time. */
  late: number
  refused: number
  ejected: number
}

interface SimulatedRunner {
  busy: number
  queue: (() => void)[]
  slowFactor: number
}

interface SimulatedEntryHost {
  id: string
  admission: Admission<Reservation>
  share: FleetShare
  load: () => Map<string, number>
  update: () => void
  setPeerLoad: (load: ReadonlyMap<string, number>) => void
}

/**
 * Simulates three entry hosts in front of a pool that gets `perSecond` requests per second. The
 * clock is simulated as well, so results do not depend on the machine.
 */
export async function simulatePool(opts: {
  seed: number
  perSecond: number
  slowFactor: number
  warmUpMs: number
  measuredMs: number
}): Promise<PoolResult> {
  let now = 0
  let seq = 0
  const events: { at: number; seq: number; fn: () => void }[] = []
  const schedule = (time: number, fn: () => void) => {
    const event = { at: time, seq: seq++, fn }
    let low = 0
    let high = events.length
    while (low < high) {
      const mid = (low + high) >> 1
      const other = events[mid]
      if (other && (other.at > time || (other.at === time && other.seq > event.seq))) low = mid + 1
      else high = mid
    }
    events.splice(low, 0, event)
    return event
  }
  const clock = { now: () => now }
  const rng = seededRandom(opts.seed)
  const result = { goodput: 0, late: 0, refused: 0, ejected: 0 }
  let answeredInTime = 0
  const endMs = opts.warmUpMs + opts.measuredMs
  const isMeasured = () => now >= opts.warmUpMs && now < endMs
  const ids = Array.from({ length: runnerCount }, (_, i) => `r${i + 1}`)
  const pool = new Map<string, SimulatedRunner>(
    ids.map(id => [id, { busy: 0, queue: [], slowFactor: id === 'r1' ? opts.slowFactor : 1 }]),
  )
  const shares = new Map([['a', 1]])

  const timers = {
    set: (fn: () => void, delayMs: number) => schedule(now + delayMs, fn),
    clear: (timer: unknown) => {
      ;(timer as { fn: () => void }).fn = () => undefined
    },
  }

  /** Creates links to a simulated runner, which continues work that an entry host has given up. */
  const createLinks = (id: string): UpstreamClient => {
    const runner = pool.get(id)
    const running = new Map<string, Promise<void>>()
    const send = (req: UpstreamRequest, hooks: SendHooks) =>
      new Promise<UpstreamResponse>((resolve, reject) => {
        const failWith = (kind: 'caller-left' | 'deadline-passed') => () => {
          reject(new RequestError(kind, { outcome: 'unknown' }))
        }
        hooks.onStart?.(failWith('caller-left'))
        schedule(req.deadline + deadlineNoticeMs, failWith('deadline-passed'))
        let end: () => void = () => undefined
        running.set(req.id, new Promise(resolveEnd => (end = resolveEnd)))
        const begin = () => {
          const ms = workMs * (0.9 + 0.2 * rng()) * (runner?.slowFactor ?? 1)
          schedule(now + ms, () => {
            const next = runner?.queue.shift()
            if (next) next()
            else if (runner) runner.busy--
            schedule(now + settleNoticeMs, end)
            schedule(now + networkDelayMs, () => {
              const body = Readable.from([])
              resolve({ status: 200, headers: {}, body, ended: Promise.resolve() })
            })
          })
        }
        schedule(now + networkDelayMs, () => {
          if (runner === undefined) return
          if (runner.busy >= slots) runner.queue.push(begin)
          else {
            runner.busy++
            begin()
          }
        })
      })
    const settled = (requestId: string) => running.get(requestId) ?? Promise.resolve()
    return { runner: { id }, send, settled } as unknown as UpstreamClient
  }

  const hosts = ['e1', 'e2', 'e3'].map((id, n): SimulatedEntryHost => {
    const router = createRouter({
      service: {
        name: 's',
        slots,
        connections: 64,
        runners: ids.map((runner, i) => ({
          id: runner,
          host: `h-${runner}`,
          zone: 'abc'.charAt(i % 3),
          address: `127.0.0.1:${i + 1}`,
        })),
      },
      zone: 'abc'.charAt(n),
      rng,
      clock,
      createClient: ({ runner }) => createLinks(runner.id),
      onDecision: ({ kind }) => {
        if (kind === 'ejected') result.ejected++
      },
    })
    const retryBudget = createRetryBudget({ clock })
    let running = 0
    const queue = createFairQueue({ shares, clock })
    const share = createFleetShare({
      member: id,
      queue,
      clock,
      slots: () => runnerCount * maxRequestsPerRunner(slots),
      shares: () => shares,
      demand: () => admission.demand(),
      roundingPeriod: () => Math.floor(now / 1_000),
    })
    const admission: Admission<Reservation> = createAdmission<Reservation>({
      pool: 's',
      clock,
      rng,
      slots: () => runnerCount * slots,
      free: () => Math.min(router.freeSlots(), share.slots() - running),
      tryStart: () => {
        const reservation = router.reserve({ idempotent: false })
        if (reservation) running++
        return reservation ?? 'no-slot'
      },
      tryBypassQueue: ({ deadline }) => {
        const reservation =
          router.isTrialDue(deadline - now) && router.reserve({ idempotent: true })
        if (!reservation) return undefined
        running++
        return reservation
      },
      queue,
      shares: () => shares,
      timers,
    })
    const serve = (admitted: AdmittedRequest<Reservation>, deadline: number) => {
      const req = { id: `${id}-${seq}`, method: 'GET', path: '/', headers: [], team: 'a', deadline }
      const { response, settled } = dispatch({
        router,
        req,
        idempotent: true,
        retryBudget,
        clock,
        timers,
        reservation: admitted.reservation,
        takePermit: () => ({ release: () => undefined }),
      })
      response.then(
        () => {
          if (!isMeasured()) return
          if (now <= deadline) answeredInTime++
          else result.late++
        },
        () => {
          if (isMeasured()) result.late++
        },
      )
      void settled.then(() => {
        running--
        admitted.end()
        admitted.reservation.release()
        admission.startQueued('slot')
      })
    }
    const enter = () => {
      const deadline = now + deadlineMs
      admission.enter({ team: 'a', deadline, requestId: 'x' }).then(
        admitted => {
          serve(admitted, deadline)
        },
        () => {
          if (isMeasured()) result.refused++
        },
      )
      schedule(now + (3_000 / opts.perSecond) * 2 * rng(), enter)
    }
    schedule(n, enter)
    const update = () => {
      const { members, spare } = share.update()
      router.setRunnerQuotas(
        spare < 1 ? computeRunnerQuotas({ members, member: id, runners: ids }) : undefined,
      )
      admission.startQueued()
      schedule(now + shareUpdateIntervalMs, update)
    }
    schedule(n * 31, update)
    const load = () => router.inFlightByRunner()
    const setPeerLoad = (peers: ReadonlyMap<string, number>) => {
      router.setPeerLoad(peers)
    }
    return { id, admission, share, load, update, setPeerLoad }
  })

  const reported = new Map<string, Map<string, number>>()
  for (const [n, host] of hosts.entries()) {
    const exchange = () => {
      const demand = host.admission.demand()
      reported.set(host.id, host.load())
      for (const peer of hosts) {
        if (peer === host) continue
        peer.share.report(host.id, demand)
        const sums = new Map<string, number>()
        for (const [id, load] of reported) {
          if (id === peer.id) continue
          for (const [runner, count] of load) sums.set(runner, (sums.get(runner) ?? 0) + count)
        }
        peer.setPeerLoad(sums)
      }
      schedule(now + exchangeIntervalMs, exchange)
    }
    schedule(n * 170 + 50, exchange)
  }

  while (now < endMs) {
    const event = events.pop()
    if (!event) break
    now = event.at
    event.fn()
    // Starts, answers and refusals take several microtasks to propagate.
    for (let i = 0; i < 12; i++) await Promise.resolve()
  }
  const workUs = workMs * 1_000
  const capacityPerSecond = [...pool.values()].reduce(
    (sum, { slowFactor }) => sum + (slots * 1e6) / (workUs * slowFactor),
    0,
  )
  result.goodput = (answeredInTime / (opts.measuredMs / 1_000) / capacityPerSecond) * 100
  return result
}
