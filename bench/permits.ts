import { createTeamPermits, type PeerPermits, type TeamPermits } from '@bulrushbridge/team-limit'
import type { Row, TableService } from '@bulrushbridge/store'

/** One measured quantity of the permits. */
export interface PermitFigure {
  name: string
  unit: string
  seed: number
  value: number
  /** Upper bound of the value. */
  target?: number
}

/** Options of {@link measurePermits}. */
export interface MeasurePermitsOptions {
  /** Seed of the entry hosts' random choices. */
  seed: number
  /** Number of entry hosts, at least 2; 9 by default. */
  hostCount?: number
  /** Number of starts that are timed; 1 000 000 by default. */
  starts?: number
}

const team = 'lumen'

/** Limit of the team, which the entry hosts divide among themselves. */
const limit = 18

/** Creates a linear congruential generator of numbers from 0 up to, but not including, 1. */
function createRng(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 4_294_967_296
  }
}

/** Creates a table service in this process that responds after 2 ms. */
function createTable(): TableService {
  const rows = new Map<string, Row>()
  const delay = () => new Promise(resolve => setTimeout(resolve, 2))
  return {
    read: async <T>(table: string, key: string) => {
      await delay()
      return structuredClone(rows.get(`${table}|${key}`)) as Row<T> | undefined
    },
    scan: () => Promise.resolve([]),
    commit: async tx => {
      await delay()
      const findVersion = (id: string): number => rows.get(id)?.version ?? 0
      const failed = tx.checks.filter(c => findVersion(`${c.table}|${c.key}`) !== c.version)
      if (failed.length > 0) return { committed: false, failed }
      for (const { table, key, value } of tx.writes) {
        const id = `${table}|${key}`
        rows.set(id, { key, version: findVersion(id) + 1, value: structuredClone(value) })
      }
      return { committed: true }
    },
    close: () => Promise.resolve(),
  }
}

/**
 * Measures the time to acquire and release a permit, the loans per second of one lender, and how
 * fast permits move to the entry host that has the demand.
 *
 * @throws RangeError when `hostCount` is less than 2.
 * @throws Error when the entry hosts do not hold or acquire the expected permits within 20 s.
 *
 * @example
 * for (const figure of await measurePermits({ seed: 1 })) console.log(JSON.stringify(figure))
 */
export async function measurePermits(opts: MeasurePermitsOptions): Promise<PermitFigure[]> {
  const { seed, hostCount = 9, starts = 1_000_000 } = opts
  const hosts = createHosts(seed, hostCount)
  const [firstHost, secondHost] = hosts
  if (!firstHost || !secondHost)
    throw new RangeError('measurePermits needs at least two entry hosts')
  try {
    await waitUntil(() => hosts.every(host => (host.held().get(team) ?? 0) >= limit / hostCount))
    const nsPerStart = measureStarts(firstHost, starts)
    const loansPerSecond = measureLoans(firstHost)
    const demandMove = await measureDemandMove(firstHost, secondHost)
    return [
      { name: 'permit take and release', unit: 'ns', seed, value: nsPerStart, target: 2_000 },
      { name: 'loans granted and returned', unit: '1/s', seed, value: loansPerSecond },
      {
        name: 'moved demand, first start',
        unit: 'ms',
        seed,
        value: demandMove.firstStartMs,
        target: 1_000,
      },
      { name: 'moved demand, whole limit', unit: 'ms', seed, value: demandMove.wholeLimitMs },
    ]
  } finally {
    const deadline = performance.now()
    await Promise.all(hosts.map(host => host.close({ deadline })))
  }
}

/** Creates entry hosts whose calls to each other take 1 ms and use no network. */
function createHosts(seed: number, count: number): TeamPermits[] {
  const byId = new Map<string, TeamPermits>()
  const call = async <T>(peer: string, handle: (to: TeamPermits) => T): Promise<T> => {
    await new Promise(resolve => setTimeout(resolve, 1))
    const to = byId.get(peer)
    if (!to) throw new RangeError(`no entry host has the id ${peer}`)
    return handle(to)
  }
  const peers: PeerPermits = {
    borrow: (peer, req) => call(peer, to => to.handlers.onBorrow(req)),
    returnLoan: (peer, req) =>
      call(peer, to => {
        to.handlers.onReturn(req)
      }),
  }
  const table = createTable()
  const clock = { now: () => performance.now() }
  const members = Array.from({ length: count }, (_, i) => ({ id: `h${i}`, incarnation: 'i1' }))
  members.forEach(({ id, incarnation }, i) => {
    const rng = createRng(seed * 100 + i)
    const isSettled = () => Promise.resolve(false)
    const opts = { member: id, incarnation, table, peers, isSettled, clock, rng }
    const host = createTeamPermits(opts)
    host.configure({ version: 1, limits: new Map([[team, limit]]), members })
    host.setConfirmedUntil(Infinity)
    host.start()
    byId.set(id, host)
  })
  return [...byId.values()]
}

/** Measures the mean time to acquire and release a free permit, in nanoseconds. */
function measureStarts(host: TeamPermits, starts: number): number {
  const startedAt = performance.now()
  for (let i = 0; i < starts; i++) host.tryAcquire(team)?.release()
  return ((performance.now() - startedAt) * 1e6) / starts
}

/** Measures how many loans per second a lender can grant and end, without the network. */
function measureLoans(lender: TeamPermits): number {
  const loans = 20_000
  const startedAt = performance.now()
  for (let seq = 0; seq < loans; seq++) {
    const loan = { team, count: 1, loanId: `h8/i1/i1/${limit}/${1_000_000 + seq}` }
    if (lender.handlers.onBorrow(loan).granted !== 1)
      throw new Error(`the lender refused the loan ${loan.loanId}`)
    lender.handlers.onReturn(loan)
  }
  return (loans * 1_000) / (performance.now() - startedAt)
}

/**
 * Measures how fast permits follow demand: `from` acquires the whole limit and releases it, then
 * `to` has all the demand. Returns the times until `to` acquires its first permit beyond those that
 * it held, and until it has acquired the whole limit.
 */
async function measureDemandMove(
  from: TeamPermits,
  to: TeamPermits,
): Promise<{ firstStartMs: number; wholeLimitMs: number }> {
  const acquired: { release(): void }[] = []
  const acquireAll = (host: TeamPermits): boolean => {
    host.setWaitingCount(team, limit - acquired.length)
    for (let permit; acquired.length < limit && (permit = host.tryAcquire(team));)
      acquired.push(permit)
    return acquired.length === limit
  }
  await waitUntil(() => acquireAll(from))
  for (const permit of acquired.splice(0)) permit.release()
  from.setWaitingCount(team, 0)
  const startedAt = performance.now()
  // The permits that the entry host holds already do not count as moved.
  const ownPermits = to.held().get(team) ?? 0
  await waitUntil(() => acquireAll(to) || acquired.length > ownPermits)
  const firstStartMs = performance.now() - startedAt
  await waitUntil(() => acquireAll(to))
  return { firstStartMs, wholeLimitMs: performance.now() - startedAt }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + 20_000
  while (!isDone()) {
    if (performance.now() > deadline)
      throw new Error('the permits did not reach the expected distribution within 20 s')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}
