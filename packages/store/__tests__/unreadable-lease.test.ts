import t, { type Test } from 'tap'
import { createManualClock, createMemoryStore, type MemoryStore } from '@bulrushbridge/standins'
import { createDutyLease, type DutyLease } from '../src/index.js'

const ttlMs = 3_000
const tokenStride = 1_024
const leaseRow = { table: 'duties', key: 'd' }
const fenceRow = { table: 'duty-fences', key: 'd' }

/** Values that the client of the store cannot decode are undefined. */
const unreadableValues = [undefined, 'odd', 7, {}, { holder: 'a', instance: 'i' }]

function createHost(t: Test, store: MemoryStore, holder: string) {
  const clock = createManualClock()
  const duty = createDutyLease({ table: store, duty: 'd', holder, ttlMs, clock, tokenStride })
  t.teardown(() => duty.close())
  return { clock, duty }
}

const tokenOf = (duty: DutyLease) => duty.held()?.token

/** Gives pending calls to the store, which is in memory, time to complete. */
const settle = () => new Promise(resolve => setTimeout(resolve, 2))

async function advance(host: ReturnType<typeof createHost>, ms: number) {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 250) {
    host.clock.advance(250)
    await settle()
  }
}

/** A store in which the lease was acquired three times; its last token is 3,072. */
async function createUsedStore(t: Test) {
  const store = createMemoryStore()
  for (const holder of ['a', 'b', 'c']) {
    const { duty } = createHost(t, store, holder)
    await settle()
    t.ok(duty.held())
    await duty.close()
  }
  return store
}

const overwrite = (store: MemoryStore, row: typeof leaseRow, value: unknown) =>
  store.commit({ checks: [], writes: [{ ...row, value }] })

// Guards against a lease that no host takes again because another writer has changed its row, and
// against one that is taken at once from a holder whose row this build cannot decode.
void t.test('a lease with an unreadable row is taken after its lifetime', async t => {
  for (const value of unreadableValues) {
    const store = await createUsedStore(t)
    await overwrite(store, leaseRow, value)
    const host = createHost(t, store, 'd')
    await advance(host, ttlMs)
    t.equal(tokenOf(host.duty), undefined, `${JSON.stringify(value)} is left alone at first`)
    await advance(host, ttlMs)
    t.equal(tokenOf(host.duty), 4 * tokenStride)
  }
})

// Guards against a takeover from a live holder of another build that renews a row of its own form.
void t.test('a lease whose unreadable row changes is left to its holder', async t => {
  const store = await createUsedStore(t)
  const host = createHost(t, store, 'd')
  await overwrite(store, leaseRow, { owner: 'new', renewals: 0 })
  for (let renewals = 1; renewals < 10; renewals++) {
    await overwrite(store, leaseRow, { owner: 'new', renewals })
    await advance(host, ttlMs / 3)
  }
  t.equal(tokenOf(host.duty), undefined)
})

// Guards against a token that runners refuse because they have seen a higher one: it was derived from
// the row of the fence, or started at the first one again.
void t.test('the token after an unreadable fence is higher than all earlier ones', async t => {
  for (const value of unreadableValues) {
    const store = await createUsedStore(t)
    await overwrite(store, fenceRow, value)
    const withLease = createHost(t, store, 'd')
    await advance(withLease, 2 * ttlMs)
    const first = tokenOf(withLease.duty) ?? 0
    t.ok(first >= 4 * tokenStride, `${first} after the fence ${JSON.stringify(value)}`)
    t.equal(first % tokenStride, 0)
    await withLease.duty.close()
    await overwrite(store, fenceRow, value)
    await overwrite(store, leaseRow, value)
    const withoutRows = createHost(t, store, 'e')
    await advance(withoutRows, 2 * ttlMs)
    const second = tokenOf(withoutRows.duty) ?? 0
    t.ok(second > first, `${second} after ${first} without a readable row`)
  }
})

// Guards against a token that ignores the one in a row of which other fields cannot be decoded.
void t.test('the token of a row that is readable in part is used', async t => {
  const store = await createUsedStore(t)
  await overwrite(store, fenceRow, { token: 9 * tokenStride })
  const afterFence = createHost(t, store, 'd')
  await advance(afterFence, ttlMs)
  t.equal(tokenOf(afterFence.duty), 10 * tokenStride)
  await afterFence.duty.close()
  await overwrite(store, leaseRow, { token: 100 * tokenStride, ttlMs: 'odd' })
  await overwrite(store, fenceRow, undefined)
  const afterLease = createHost(t, store, 'e')
  await advance(afterLease, 2 * ttlMs)
  t.equal(tokenOf(afterLease.duty), 101 * tokenStride)
})

// Guards against a holder that goes on without a valid fence, and against a lease that is lost for
// good, when another writer replaces the fence during a term.
void t.test('a holder whose fence becomes unreadable gets a higher token', async t => {
  const store = await createUsedStore(t)
  const host = createHost(t, store, 'd')
  await advance(host, ttlMs)
  const before = tokenOf(host.duty) ?? Infinity
  await overwrite(store, fenceRow, undefined)
  await advance(host, 2 * ttlMs)
  t.ok((tokenOf(host.duty) ?? 0) > before)
})
