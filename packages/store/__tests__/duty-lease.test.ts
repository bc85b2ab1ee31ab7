import t, { type Test } from 'tap'
import { createManualClock, createTableStandin, waitUntil } from '@bulrushbridge/standins'
import { createDutyLease, createHttpTableService, type DutyLease } from '../src/index.js'

const ttlMs = 3_000

/** Each host has its own clock; the test simulates a frozen host by not advancing its clock. */
async function setup(t: Test) {
  const standin = await createTableStandin()
  const closers: (() => Promise<void>)[] = []
  t.teardown(async () => {
    for (const close of closers) await close()
    await standin.close()
  })
  const host = (holder: string) => {
    const clock = createManualClock()
    const table = createHttpTableService({ url: standin.url, clock })
    const duty = createDutyLease({ table, duty: 'd', holder, ttlMs, clock })
    closers.push(async () => {
      await duty.close()
      await table.close()
    })
    return { clock, table, duty }
  }
  return { standin, host }
}

const tokenOf = (duty: DutyLease) => duty.held()?.token

/** Advances the clock in small steps, so that the calls made in each step reach the service. */
async function advanceInSteps(
  host: { clock: { advance(ms: number): void } },
  ms: number,
  stepMs = 250,
) {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
    host.clock.advance(stepMs)
    await new Promise(resolve => setTimeout(resolve, 8))
  }
}

void t.test(
  'a frozen holder loses its lease to another host, and its later writes are rejected',
  async t => {
    const { host } = await setup(t)
    const frozen = host('a')
    await waitUntil(() => tokenOf(frozen.duty) === 1)
    const staleLease = frozen.duty.held()
    const next = host('b')
    await waitUntil(async () => {
      await advanceInSteps(next, 250)
      return tokenOf(next.duty) === 2
    })
    const writes = [{ table: 'x', key: 'k', value: 'stale' }]
    const checks = staleLease === undefined ? [] : [staleLease.check]
    t.equal((await frozen.table.commit({ checks, writes })).committed, false)
    t.equal(await next.table.read('x', 'k'), undefined)
    frozen.clock.advance(ttlMs)
    t.equal(frozen.duty.held(), undefined)
  },
)

void t.test(
  'a renewal between reading the check and committing does not make the commit fail',
  async t => {
    const { standin, host } = await setup(t)
    const { clock, duty, table } = host('a')
    await waitUntil(() => tokenOf(duty) === 1)
    const held = duty.held()
    const before = standin.counters().writes
    clock.advance(ttlMs / 3)
    await waitUntil(() => standin.counters().writes > before)
    const checks = held === undefined ? [] : [held.check]
    const result = await table.commit({ checks, writes: [{ table: 'x', key: 'k', value: 1 }] })
    t.same(result, { committed: true })
  },
)

void t.test('a holder that renews its lease keeps it, even when responses are lost', async t => {
  const { standin, host } = await setup(t)
  const holder = host('a')
  await waitUntil(() => tokenOf(holder.duty) === 1)
  const observer = host('b')
  standin.faults.loseAnswers = { probability: 0.2, seed: 5 }
  // Covers five lifetimes; steps of a twelfth of the lifetime leave time to repeat renewals.
  for (let step = 0; step < 60; step++) {
    observer.clock.advance(ttlMs / 12)
    await advanceInSteps(holder, ttlMs / 12)
  }
  t.equal(tokenOf(observer.duty), undefined)
  t.equal(tokenOf(holder.duty), 1)
})

void t.test('the lease expires in an outage and is acquired again with a higher token', async t => {
  const { standin, host } = await setup(t)
  const { clock, duty } = host('a')
  await waitUntil(() => tokenOf(duty) === 1)
  const observedTokens: (number | undefined)[] = []
  duty.onChange(held => observedTokens.push(held?.token))
  standin.faults.down = true
  clock.advance(ttlMs)
  t.equal(duty.held(), undefined)
  standin.faults.down = false
  await waitUntil(async () => {
    await advanceInSteps({ clock }, 250)
    return tokenOf(duty) === 2
  })
  t.same(observedTokens, [undefined, 2])
})

void t.test('a released lease is acquired without waiting for its lifetime', async t => {
  const { host } = await setup(t)
  const first = host('a')
  await waitUntil(() => tokenOf(first.duty) === 1)
  const second = host('b')
  await first.duty.close()
  t.equal(first.duty.held(), undefined)
  await waitUntil(async () => {
    await advanceInSteps(second, 100, 100)
    return tokenOf(second.duty) === 2 || second.clock.now() > 1_000 + ttlMs
  })
  t.equal(tokenOf(second.duty), 2)
})
