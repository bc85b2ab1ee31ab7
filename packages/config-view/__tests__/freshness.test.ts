import fc from 'fast-check'
import t from 'tap'
import type { ChangeResult } from '../src/index.js'
import { VirtualFleet } from './virtual-fleet.js'

const ids = ['a', 'b', 'c', 'd', 'e']

/** A change must be in force this long after it was reported as accepted. */
const inForceMs = 3000

const host = fc.constantFrom(...ids)
const duration = fc.integer({ min: 200, max: 9000 })

const fault = fc.oneof(
  fc.record({ kind: fc.constant('outage' as const), ms: duration }),
  fc.record({
    kind: fc.constant('loss' as const),
    rate: fc.double({ min: 0, max: 0.5, noNaN: true }),
  }),
  fc.record({ kind: fc.constant('slow' as const), ms: fc.integer({ min: 1, max: 1900 }) }),
  fc.record({ kind: fc.constant('part' as const), side: fc.subarray(ids), ms: duration }),
  fc.record({ kind: fc.constant('freeze' as const), host, ms: duration }),
  fc.record({ kind: fc.constant('store-cut' as const), host, ms: duration }),
  fc.record({ kind: fc.constant('restart' as const), host }),
  // Sequences that single faults hit too rarely: a host on slow responses that is then isolated,
  // and a process that loses a restriction and afterwards reaches only the store.
  fc.record({
    kind: fc.constant('isolate' as const),
    host,
    by: host,
    ms: fc.integer({ min: 900, max: 1950 }),
  }),
  fc.record({
    kind: fc.constant('forget' as const),
    host,
    by: host,
    ms: fc.integer({ min: 800, max: 3000 }),
  }),
  fc.record({ kind: fc.constant('rejoin' as const), host }),
  // Changes of load move the rounds in which exchanges are due.
  fc.record({ kind: fc.constant('load' as const), host, busy: fc.boolean(), n: fc.nat(3) }),
  fc.record({ kind: fc.constant('remove' as const), host, by: host }),
  fc.record({ kind: fc.constant('order' as const), host, zone: fc.integer({ min: 0, max: 2 }) }),
  fc.record({ kind: fc.constant('order' as const), host, zone: fc.integer({ min: 0, max: 2 }) }),
  fc.record({ kind: fc.constant('back' as const), host, zone: fc.integer({ min: 0, max: 2 }) }),
)
type Fault = typeof fault extends fc.Arbitrary<infer F> ? F : never
const step = fc.record({ fault, waitMs: fc.integer({ min: 0, max: 2500 }) })

interface Accepted {
  at: number
  version: number
  restrictionId: string | undefined
}

/** Runs a scenario and collects every breach of the invariant. */
class Scenario {
  readonly fleet: VirtualFleet
  readonly accepted: Accepted[] = []
  readonly breaches: string[] = []
  readonly #highest = new Map<string, number>()
  #orders = 0

  constructor(seed: number) {
    this.fleet = new VirtualFleet(seed)
  }

  apply(f: Fault): void {
    const { fleet } = this
    const handlers: { [K in Fault['kind']]: (f: Extract<Fault, { kind: K }>) => void } = {
      outage: ({ ms }) => {
        fleet.storeDown = true
        fleet.at(ms, 'test', () => {
          fleet.storeDown = false
        })
      },
      'store-cut': ({ host: id, ms }) => {
        fleet.storeCut.add(id)
        fleet.at(ms, 'test', () => {
          fleet.storeCut.delete(id)
        })
      },
      loss: ({ rate }) => {
        fleet.lossRate = rate
      },
      slow: ({ ms }) => {
        fleet.maxLatencyMs = ms
      },
      part: ({ side, ms }) => {
        this.#part(side, ms)
      },
      isolate: ({ host: id, by, ms }) => {
        fleet.storeCut.add(id)
        fleet.responseMs.set(id, ms)
        fleet.at(ms + 600, 'test', () => {
          this.#order(by, 0)
          this.#part([id], 7000)
        })
        fleet.at(9000, 'test', () => {
          fleet.storeCut.delete(id)
          fleet.responseMs.delete(id)
        })
      },
      forget: ({ host: id, by, ms }) => {
        fleet.storeDown = true
        this.#order(by, 1)
        fleet.at(5000 + ms, 'test', () => {
          this.#part([id], 4000)
          fleet.start(id, ids)
        })
        fleet.at(5500 + ms, 'test', () => {
          fleet.storeDown = false
        })
      },
      freeze: ({ host: id, ms }) => fleet.frozenUntil.set(id, fleet.now + ms),
      restart: ({ host: id }) => fleet.start(id, ids),
      rejoin: ({ host: id }) => {
        fleet.views
          .get(id)
          ?.join()
          .catch(() => undefined)
      },
      load: ({ host: id, busy, n }) => fleet.loads.set(id, { busy, key: String(n) }),
      remove: ({ host: id, by }) => {
        const view = fleet.views.get(by)
        const member = view?.committed().members[id]
        if (member) view.removeMember(id, member.incarnation).catch(() => undefined)
      },
      order: ({ host: id, zone }) => {
        this.#order(id, zone)
      },
      back: ({ host: id, zone }) => {
        const change = { kind: 'zone-back', zone: `z${zone}` } as const
        this.#track(fleet.views.get(id)?.propose(change, { by: id }), undefined)
      },
    }
    ;(handlers[f.kind] as (f: Fault) => void)(f)
  }

  #part(side: string[], ms: number): void {
    const { cutLinks } = this.fleet
    const others = ids.filter(id => !side.includes(id))
    const cut = side.flatMap(x => others.map(y => [x, y].sort().join('-')))
    cut.forEach(link => cutLinks.add(link))
    this.fleet.at(ms, 'test', () => {
      cut.forEach(link => cutLinks.delete(link))
    })
  }

  #order(id: string, zone: number): void {
    const view = this.fleet.views.get(id)
    if (!view) return
    const change = { kind: 'zone-out', zone: `z${zone}` } as const
    const restrictionId = `r${this.#orders++}`
    const order = view
      .propose(change, { by: id, restrictionId })
      .catch(() => view.restrict(change, { by: id, id: restrictionId }))
    this.#track(order, restrictionId)
  }

  #track(order: Promise<ChangeResult> | undefined, restrictionId: string | undefined): void {
    order?.then(
      ({ accepted, version }) => {
        if (accepted) this.accepted.push({ at: this.fleet.now, version, restrictionId })
      },
      () => undefined,
    )
  }

  check(): void {
    const { fleet } = this
    const disagreement = fleet.checkAgreement()
    if (disagreement) this.breaches.push(disagreement)
    for (const [id, view] of fleet.views) {
      const { version } = view.committed()
      const process = `${id}#${view.member.incarnation}`
      if (version < (this.#highest.get(process) ?? 0)) this.breaches.push(`${process} went back`)
      this.#highest.set(process, version)
      if (!view.isConfirmed()) continue
      const overdue = this.accepted.filter(({ at }) => at + inForceMs < fleet.now)
      if (overdue.some(change => !this.#holds(id, change))) {
        this.breaches.push(`${process} is confirmed at ${fleet.now} without an accepted change`)
      }
    }
  }

  #holds(id: string, { version, restrictionId }: Accepted): boolean {
    const view = this.fleet.views.get(id)
    if (!view) return true
    if (version > 0) return view.committed().version >= version
    if (view.provisional().some(r => r.id === restrictionId)) return true
    const row = this.fleet.rows.get(`restrictions/${restrictionId ?? ''}`)
    const settledAt = (row?.value as { version: number } | undefined)?.version
    return settledAt !== undefined && view.committed().version >= settledAt
  }
}

const property = fc.asyncProperty(
  fc.integer(),
  fc.array(step, { minLength: 4, maxLength: 24 }),
  async (seed, steps) => {
    const scenario = new Scenario(seed)
    const { fleet } = scenario
    const check = () => {
      scenario.check()
    }
    await fleet.registerAll(ids)
    const restarts = steps.some(({ fault: f }) => ['restart', 'forget'].includes(f.kind))
    for (const { fault: f, waitMs } of steps) {
      // Outside the guarantee: see the limits in the Safety argument of the README.
      if (restarts && ['store-cut', 'isolate'].includes(f.kind)) continue
      scenario.apply(f)
      await fleet.runUntil(fleet.now + waitMs, check)
    }
    await fleet.runUntil(fleet.now + 12_000, check)
    if (scenario.breaches[0]) throw new Error(scenario.breaches[0])
  },
)

for (const seed of [11, 23, 47, 89]) {
  void t.test(
    `no confirmed view lacks a change 3 s after its acceptance, seed ${seed}`,
    async t => {
      const result = await fc.check(property, { seed, numRuns: 40, endOnFailure: true })
      const cause = (result.errorInstance as Error | null)?.message ?? ''
      t.notOk(result.failed, `${cause} ${JSON.stringify(result.counterexample)}`)
    },
  )
}
