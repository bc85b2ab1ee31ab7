import {
  createFaultServer,
  type ListenOptions,
  type Standin,
  type StandinResponse,
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
type TransactionResult = { committed: true } | { committed: false; failed: Check[] }

/** Number of transaction tokens whose results are kept; the oldest are dropped to bound memory. */
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
  readonly #resultsByToken = new Map<string, TransactionResult | 'fenced'>()

  handle(req: StandinRequest): StandinResponse {
    const [root, name = '', key] = req.path
    if (req.method === 'POST' && root === 'transactions') return this.#commit(req.body)
    if (req.method === 'GET' && root === 'tokens') return this.#resolveToken(name)
    if (req.method !== 'GET' || root !== 'tables') return { status: 404, body: {} }
    const table = this.#tables.get(name)
    if (key === undefined) return { status: 200, body: table?.scan(req.query) ?? [] }
    const row = table?.rows.get(key)
    return row === undefined ? { status: 404, body: {} } : { status: 200, body: row }
  }

  #commit(body: string): StandinResponse {
    const tx = JSON.parse(body) as { checks: Check[]; writes: Write[]; token: string }
    const knownResult = this.#resultsByToken.get(tx.token)
    if (knownResult === 'fenced') return { status: 410, body: { error: 'token-fenced' } }
    if (knownResult !== undefined)
      return { status: knownResult.committed ? 200 : 409, body: knownResult }
    const failed = tx.checks.filter(check => this.#currentVersion(check) !== check.version)
    const result: TransactionResult =
      failed.length === 0 ? { committed: true } : { committed: false, failed }
    this.#recordResult(tx.token, result)
    if (!result.committed) return { status: 409, body: result }
    for (const write of tx.writes) this.#getOrCreateTable(write.table).write(write.key, write.value)
    return { status: 200, body: result, rowsWritten: tx.writes.length }
  }

  /**
   * Returns the result of the transaction with a token. An unknown token is fenced: its transaction is
   * refused if it arrives later, so that the reported absence stays true.
   */
  #resolveToken(token: string): StandinResponse {
    const result = this.#resultsByToken.get(token)
    if (result !== undefined && result !== 'fenced') return { status: 200, body: result }
    this.#recordResult(token, 'fenced')
    return { status: 404, body: { error: 'token-fenced' } }
  }

  #recordResult(token: string, result: TransactionResult | 'fenced'): void {
    this.#resultsByToken.set(token, result)
    if (this.#resultsByToken.size <= maxTokens) return
    for (const oldestToken of this.#resultsByToken.keys()) {
      this.#resultsByToken.delete(oldestToken)
      return
    }
  }

  #currentVersion(check: Check): number {
    return this.#tables.get(check.table)?.rows.get(check.key)?.version ?? 0
  }

  #getOrCreateTable(name: string): Table {
    let table = this.#tables.get(name)
    if (table === undefined) this.#tables.set(name, (table = new Table()))
    return table
  }
}

class Table {
  readonly rows = new Map<string, Row>()
  /** Sorted keys of the rows; undefined after a key was added or removed, until the next scan. */
  #sortedKeys: string[] | undefined

  write(key: string, value: unknown): void {
    const previous = this.rows.get(key)
    if (value === null) this.rows.delete(key)
    else this.rows.set(key, { key, version: (previous?.version ?? 0) + 1, value })
    if ((previous === undefined) !== (value === null)) this.#sortedKeys = undefined
  }

  scan(query: URLSearchParams): Row[] {
    this.#sortedKeys ??= [...this.rows.keys()].sort()
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Number(query.get('limit') ?? Infinity)
    const found: Row[] = []
    for (let index = lowerBound(this.#sortedKeys, from); index < this.#sortedKeys.length; index++) {
      const key = this.#sortedKeys[index] ?? ''
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
