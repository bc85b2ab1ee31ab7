import { createAdmission, type Admission, type AdmittedRequest } from '@bulrushbridge/admission'
import { seededRandom } from '@bulrushbridge/standins'
import { createFairQueue, createFleetShare, type FleetShare } from '@bulrushbridge/team-share'
import { RequestError } from '@bulrushbridge/errors'
import type {
  RunnerLinks,
  SendHooks,
  UpstreamAnswer,
  UpstreamRequest,
} from '@bulrushbridge/upstream-link'
import {
  createRetryBudget,
  createRouter,
  dispatch,
  divideRunners,
  requestsPerRunner,
  type Reservation,
} from '@bulrushbridge/upstream-routing'
import { Readable } from 'node:stream'

const slots = 8
const workMs = 100
const runnerCount = 8
const deadlineMs = 1_000
/** Time between an entry host and a runner in one direction. */
const transitMs = 1.5
const exchangeMs = 500
const updateMs = 100
/** Time from the end of given-up work until an entry host knows of it. */
const settleMs = 200
/** Delay with which a passed deadline is noticed. */
const sweepMs = 10

/** What happened at the runners and to the requests after the warm-up. */
export interface PoolResult {
  /** Answers in time, in percent of what runners without any pause would give. */
  goodput: number
  /** Requests that were started and not answered in time. */
  late: number
  refused: number
  ejected: number
}

interface SimulatedRunner {
  busy: number
  line: (() => void)[]
  slowFactor: number
}

interface Host {
  id: string
  admission: Admission<Reservation>
  share: FleetShare
  load: () => Map<string, number>
  update: () => void
  setPeerLoad: (load: ReadonlyMap<string, number>) => void
}

/**
 * Simulates three entry hosts in front of a pool that gets `perSecond` requests, on a clock of its
 * own, so that results do not depend on the machine.
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
  const at = (time: number, fn: () => void) => {
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
  let ok = 0
  const endMs = opts.warmUpMs + opts.measuredMs
  const isMeasured = () => now >= opts.warmUpMs && now < endMs
  const ids = Array.from({ length: runnerCount }, (_, i) => `r${i + 1}`)
  const pool = new Map<string, SimulatedRunner>(
    ids.map(id => [id, { busy: 0, line: [], slowFactor: id === 'r1' ? opts.slowFactor : 1 }]),
  )
  const shares = new Map([['a', 1]])

  const timers = {
    set: (fn: () => void, delayMs: number) => at(now + delayMs, fn),
    clear: (timer: unknown) => {
      ;(timer as { fn: () => void }).fn = () => undefined
    },
  }

  /** Links whose requests reach a simulated runner; it goes on with work that was given up. */
  const createLinks = (id: string): RunnerLinks => {
    const runner = pool.get(id)
    const running = new Map<string, Promise<void>>()
    const send = (req: UpstreamRequest, hooks: SendHooks) =>
      new Promise<UpstreamAnswer>((resolve, reject) => {
        const fail = (kind: 'caller-left' | 'deadline-passed') => () => {
          reject(new RequestError(kind, { outcome: 'unknown' }))
        }
        hooks.onStart?.(fail('caller-left'))
        at(req.deadline + sweepMs, fail('deadline-passed'))
        let end: () => void = () => undefined
        running.set(req.id, new Promise(done => (end = done)))
        const begin = () => {
          const ms = workMs * (0.9 + 0.2 * rng()) * (runner?.slowFactor ?? 1)
          at(now + ms, () => {
            const next = runner?.line.shift()
            if (next) next()
            else if (runner) runner.busy--
            at(now + settleMs, end)
            at(now + transitMs, () => {
              const body = Readable.from([])
              resolve({ status: 200, headers: {}, body, ended: Promise.resolve() })
            })
          })
        }
        at(now + transitMs, () => {
          if (runner === undefined) return
          if (runner.busy >= slots) runner.line.push(begin)
          else {
            runner.busy++
            begin()
          }
        })
      })
    const settled = (requestId: string) => running.get(requestId) ?? Promise.resolve()
    return { runner: { id }, send, settled } as unknown as RunnerLinks
  }

  const hosts = ['e1', 'e2', 'e3'].map((id, n): Host => {
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
      createLinks: ({ runner }) => createLinks(runner.id),
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
      slots: () => runnerCount * requestsPerRunner(slots),
      shares: () => shares,
      demand: () => admission.demand(),
      rotation: () => Math.floor(now / 1_000),
    })
    const admission: Admission<Reservation> = createAdmission<Reservation>({
      pool: 's',
      clock,
      rng,
      slots: () => runnerCount * slots,
      free: () => Math.min(router.free(), share.slots() - running),
      tryStart: () => {
        const got = router.reserve({ idempotent: false })
        if (got) running++
        return got ?? 'no-slot'
      },
      tryBypassQueue: ({ deadline }) => {
        const got = router.isTrialDue(deadline - now) && router.reserve({ idempotent: true })
        if (!got) return undefined
        running++
        return got
      },
      queue,
      shares: () => shares,
      timers,
    })
    const serve = (start: AdmittedRequest<Reservation>, deadline: number) => {
      const req = { id: `${id}-${seq}`, method: 'GET', path: '/', headers: [], team: 'a', deadline }
      const { answer, settled } = dispatch({
        router,
        req,
        idempotent: true,
        retryBudget,
        clock,
        timers,
        reservation: start.reservation,
        takePermit: () => ({ release: () => undefined }),
      })
      answer.then(
        () => {
          if (!isMeasured()) return
          if (now <= deadline) ok++
          else result.late++
        },
        () => {
          if (isMeasured()) result.late++
        },
      )
      void settled.then(() => {
        running--
        start.end()
        start.reservation.release()
        admission.pump('slot')
      })
    }
    const enter = () => {
      const deadline = now + deadlineMs
      admission.enter({ team: 'a', deadline, requestId: 'x' }).then(
        start => {
          serve(start, deadline)
        },
        () => {
          if (isMeasured()) result.refused++
        },
      )
      at(now + (3_000 / opts.perSecond) * 2 * rng(), enter)
    }
    at(n, enter)
    const update = () => {
      const { members, spare } = share.update()
      router.setParts(spare < 1 ? divideRunners({ members, member: id, runners: ids }) : undefined)
      admission.pump()
      at(now + updateMs, update)
    }
    at(n * 31, update)
    const load = () => router.load()
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
      at(now + exchangeMs, exchange)
    }
    at(n * 170 + 50, exchange)
  }

  while (now < endMs) {
    const event = events.pop()
    if (!event) break
    now = event.at
    event.fn()
    // Starts, answers and refusals pass through several microtasks.
    for (let i = 0; i < 12; i++) await Promise.resolve()
  }
  const perRunnerMs = workMs * 1_000
  const best = [...pool.values()].reduce(
    (sum, { slowFactor }) => sum + (slots * 1e6) / (perRunnerMs * slowFactor),
    0,
  )
  result.goodput = (ok / (opts.measuredMs / 1_000) / best) * 100
  return result
}
