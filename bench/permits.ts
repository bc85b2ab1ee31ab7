import { createTeamPermits, type PeerPermits, type TeamPermits } from '@bulrushbridge/team-limit'
import type { Row, TableService } from '@bulrushbridge/store'

/** One measured figure. */
export interface PermitRecord {
  name: string
  unit: string
  seed: number
  value: number
  target?: number
}

/** Options of {@link measurePermits}. */
export interface MeasurePermitsOptions {
  seed: number
  /** Entry hosts. */
  hosts?: number
  /** Starts that are timed. */
  starts?: number
}

const team = 'lumen'
const limit = 18

function createRng(seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 4_294_967_296
  }
}

/** A table in this process that answers after 2 ms. */
function createTable(): TableService {
  const rows = new Map<string, Row>()
  const pause = () => new Promise(resolve => setTimeout(resolve, 2))
  return {
    read: async <T>(table: string, key: string) => {
      await pause()
      return structuredClone(rows.get(`${table}|${key}`)) as Row<T> | undefined
    },
    scan: () => Promise.resolve([]),
    commit: async tx => {
      await pause()
      const versionOf = (id: string): number => rows.get(id)?.version ?? 0
      const failed = tx.checks.filter(c => versionOf(`${c.table}|${c.key}`) !== c.version)
      if (failed.length > 0) return { committed: false, failed }
      for (const { table, key, value } of tx.writes) {
        const id = `${table}|${key}`
        rows.set(id, { key, version: versionOf(id) + 1, value: structuredClone(value) })
      }
      return { committed: true }
    },
    close: () => Promise.resolve(),
  }
}

/**
 * Measures the cost of a start, loans a second, and how fast permits follow demand.
 *
 * @example
 * for (const record of await measurePermits({ seed: 1 })) console.log(JSON.stringify(record))
 */
export async function measurePermits(opts: MeasurePermitsOptions): Promise<PermitRecord[]> {
  const { seed, hosts: count = 9, starts = 1_000_000 } = opts
  const hosts = createHosts(seed, count)
  const [first, second] = hosts
  if (!first || !second) throw new RangeError('two entry hosts are needed')
  try {
    await waitUntil(() => hosts.every(host => (host.held().get(team) ?? 0) >= limit / count))
    const startNs = measureStarts(first, starts)
    const loansPerSecond = measureLoans(first)
    const moved = await measureMove(first, second)
    return [
      { name: 'permit take and release', unit: 'ns', seed, value: startNs, target: 2_000 },
      { name: 'loans granted and returned', unit: '1/s', seed, value: loansPerSecond },
      { name: 'moved demand, first start', unit: 'ms', seed, value: moved.first, target: 1_000 },
      { name: 'moved demand, whole limit', unit: 'ms', seed, value: moved.all },
    ]
  } finally {
    const deadline = performance.now()
    await Promise.all(hosts.map(host => host.close({ deadline })))
  }
}

function createHosts(seed: number, count: number): TeamPermits[] {
  const byId = new Map<string, TeamPermits>()
  const call = async <T>(peer: string, handle: (to: TeamPermits) => T): Promise<T> => {
    await new Promise(resolve => setTimeout(resolve, 1))
    const to = byId.get(peer)
    if (!to) throw new RangeError(`no entry host ${peer}`)
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

function measureStarts(host: TeamPermits, starts: number): number {
  const begin = performance.now()
  for (let i = 0; i < starts; i++) host.tryAcquire(team)?.release()
  return ((performance.now() - begin) * 1e6) / starts
}

/** The lender's work per loan, without the network. */
function measureLoans(lender: TeamPermits): number {
  const loans = 20_000
  const begin = performance.now()
  for (let seq = 0; seq < loans; seq++) {
    const loan = { team, count: 1, loanId: `h8/i1/i1/${limit}/${1_000_000 + seq}` }
    if (lender.handlers.onBorrow(loan).granted !== 1) throw new Error('the loan was refused')
    lender.handlers.onReturn(loan)
  }
  return (loans * 1_000) / (performance.now() - begin)
}

/** One entry host takes the whole limit, ends its work, and the demand appears at another. */
async function measureMove(
  from: TeamPermits,
  to: TeamPermits,
): Promise<{ first: number; all: number }> {
  const taken: { release(): void }[] = []
  const fill = (host: TeamPermits): boolean => {
    host.setWaitingCount(team, limit - taken.length)
    for (let permit; taken.length < limit && (permit = host.tryAcquire(team));) taken.push(permit)
    return taken.length === limit
  }
  await waitUntil(() => fill(from))
  for (const permit of taken.splice(0)) permit.release()
  from.setWaitingCount(team, 0)
  const begin = performance.now()
  // The permits of its own division do not count as moved.
  const own = to.held().get(team) ?? 0
  await waitUntil(() => fill(to) || taken.length > own)
  const first = performance.now() - begin
  await waitUntil(() => fill(to))
  return { first, all: performance.now() - begin }
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const deadline = performance.now() + 20_000
  while (!isDone()) {
    if (performance.now() > deadline) throw new Error('not reached within 20 s')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}
