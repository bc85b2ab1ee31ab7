import {
  createFaultServer,
  type ListenOptions,
  type Standin,
  type StandinAnswer,
  type StandinRequest,
} from './fault-server.js'

interface Check {
  table: string
  key: string
  version: number
}
interface Write {
  table: string
  key: string
  value: unknown
}
interface Row {
  key: string
  version: number
  value: unknown
}
type Result = { committed: true } | { committed: false; failed: Check[] }

/** Tokens kept with their results; older ones are forgotten to bound memory. */
const maxTokens = 200_000

/**
 * Stand-in for the platform's transactional table service.
 *
 * @example
 * const standin = await createTableStandin({ host: '127.0.0.9' })
 * standin.faults.loseAnswers = { next: 1 }
 */
export function createTableStandin(opts: ListenOptions = {}): Promise<Standin> {
  const tables = new Tables()
  return createFaultServer(opts, req => tables.handle(req))
}

class Tables {
  readonly #tables = new Map<string, Table>()
  readonly #tokens = new Map<string, Result | 'fenced'>()

  handle(req: StandinRequest): StandinAnswer {
    const [area, name = '', key] = req.path
    if (req.method === 'POST' && area === 'transactions') return this.#transact(req.body)
    if (req.method === 'GET' && area === 'tokens') return this.#token(name)
    if (req.method !== 'GET' || area !== 'tables') return { status: 404, body: {} }
    const table = this.#tables.get(name)
    if (key === undefined) return { status: 200, body: table?.scan(req.query) ?? [] }
    const row = table?.rows.get(key)
    return row === undefined ? { status: 404, body: {} } : { status: 200, body: row }
  }

  #transact(body: string): StandinAnswer {
    const tx = JSON.parse(body) as { checks: Check[]; writes: Write[]; token: string }
    const known = this.#tokens.get(tx.token)
    if (known === 'fenced') return { status: 410, body: { error: 'token-fenced' } }
    if (known !== undefined) return { status: known.committed ? 200 : 409, body: known }
    const failed = tx.checks.filter(check => this.#version(check) !== check.version)
    const result: Result = failed.length === 0 ? { committed: true } : { committed: false, failed }
    this.#keep(tx.token, result)
    if (!result.committed) return { status: 409, body: result }
    for (const write of tx.writes) this.#table(write.table).write(write.key, write.value)
    return { status: 200, body: result, rowsWritten: tx.writes.length }
  }

  /** Fences an unknown token, so that "did not take effect" stays true if it arrives later. */
  #token(token: string): StandinAnswer {
    const result = this.#tokens.get(token)
    if (result !== undefined && result !== 'fenced') return { status: 200, body: result }
    this.#keep(token, 'fenced')
    return { status: 404, body: { error: 'token-fenced' } }
  }

  #keep(token: string, result: Result | 'fenced'): void {
    this.#tokens.set(token, result)
    if (this.#tokens.size <= maxTokens) return
    for (const oldest of this.#tokens.keys()) {
      this.#tokens.delete(oldest)
      return
    }
  }

  #version(check: Check): number {
    return this.#tables.get(check.table)?.rows.get(check.key)?.version ?? 0
  }

  #table(name: string): Table {
    let table = this.#tables.get(name)
    if (table === undefined) this.#tables.set(name, (table = new Table()))
    return table
  }
}

class Table {
  readonly rows = new Map<string, Row>()
  /** Sorted keys, rebuilt by the next scan after a key was added or removed. */
  #keys: string[] | undefined

  write(key: string, value: unknown): void {
    const old = this.rows.get(key)
    if (value === null) this.rows.delete(key)
    else this.rows.set(key, { key, version: (old?.version ?? 0) + 1, value })
    if ((old === undefined) !== (value === null)) this.#keys = undefined
  }

  scan(query: URLSearchParams): Row[] {
    this.#keys ??= [...this.rows.keys()].sort()
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Number(query.get('limit') ?? Infinity)
    const found: Row[] = []
    for (let at = lowerBound(this.#keys, from); at < this.#keys.length; at++) {
      const key = this.#keys[at] ?? ''
      if (found.length >= limit || (to !== null && key >= to)) break
      const row = this.rows.get(key)
      if (row !== undefined) found.push(row)
    }
    return found
  }
}

function lowerBound(keys: string[], from: string): number {
  let low = 0
  let high = keys.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if ((keys[middle] ?? '') < from) low = middle + 1
    else high = middle
  }
  return low
}
