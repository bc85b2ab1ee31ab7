import t, { type Test } from 'tap'
import { createManualClock, createTableStandin, waitUntil } from '@bulrushbridge/standins'
import {
  createDutyLease,
  createHttpTableService,
  type DutyLease,
  type DutyLeaseOptions,
} from '../src/index.js'

const ttlMs = 3_000

/** Each host has its own clock; the test simulates a frozen host by not advancing its clock. */
async function setup(t: Test) {
  const standin = await createTableStandin()
  const closers: (() => Promise<void>)[] = []
  t.teardown(async () => {
    for (const close of closers) await close()
    await standin.close()
  })
  const host = (holder: string, more: Partial<DutyLeaseOptions> = {}) => {
    const clock = createManualClock()
    const table = createHttpTableService({ url: standin.url, clock })
    const duty = createDutyLease({ table, duty: 'd', holder, ttlMs, clock, ...more })
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

/**
 * Step of tests that must not let a lease expire, in milliseconds; each lifetime takes 0.24 s of real
 * time, in which the renewals arrive.
 */
const smallStepMs = 100

// On a deployment with hosts of different sizes, the lease went to any of them after a failure. A
// small host then kept it although it could not do the work of the duty.
void t.test(
  'a much stronger candidate gets the lease of a weak holder that is at work',
  async t => {
    const { host } = await setup(t)
    const requests: { name: string; capacity: number }[] = []
    const weak: ReturnType<typeof host> = host('weak', {
      capacity: 300,
      onHandoverRequest: candidate => {
        requests.push(candidate)
        void weak.duty.handOver()
      },
    })
    await waitUntil(() => tokenOf(weak.duty) === 1)
    const strong = host('strong', { capacity: 1_300 })
    await waitUntil(async () => {
      await Promise.all([
        advanceInSteps(weak, 200, smallStepMs),
        advanceInSteps(strong, 200, smallStepMs),
      ])
      return tokenOf(strong.duty) === 2
    })
    t.equal(tokenOf(weak.duty), undefined)
    await Promise.all([
      advanceInSteps(weak, 2 * ttlMs, smallStepMs),
      advanceInSteps(strong, 2 * ttlMs, smallStepMs),
    ])
    t.equal(tokenOf(strong.duty), 2, 'the weaker host does not take it back')
    t.same(requests, [{ name: 'strong', capacity: 1_300 }], 'the lease is asked for once')
  },
)

void t.test('candidates of nearly the same capacity leave the lease where it is', async t => {
  const { host } = await setup(t)
  const first = host('a', { capacity: 1_000, onHandoverRequest: () => t.fail('asked for') })
  await waitUntil(() => tokenOf(first.duty) === 1)
  const second = host('b', { capacity: 1_200 })
  await Promise.all([
    advanceInSteps(first, 2 * ttlMs, smallStepMs),
    advanceInSteps(second, 2 * ttlMs, smallStepMs),
  ])
  t.equal(tokenOf(first.duty), 1)
})

// Whichever host looked at the row first took the lease of a failed holder.
void t.test('a weak candidate leaves a free lease to stronger ones for a moment', async t => {
  const { host } = await setup(t)
  const failed = host('failed', { capacity: 1_300 })
  await waitUntil(() => tokenOf(failed.duty) === 1)
  await failed.duty.close()
  const weak = host('weak', { capacity: 300 })
  await advanceInSteps(weak, ttlMs / 3, smallStepMs)
  t.equal(tokenOf(weak.duty), undefined)
  const strong = host('strong', { capacity: 1_300 })
  await waitUntil(() => tokenOf(strong.duty) === 2)
  await strong.duty.close()
  await advanceInSteps(weak, ttlMs, smallStepMs)
  t.equal(tokenOf(weak.duty), 3, 'it takes the lease when no stronger candidate does')
})

// A holder whose release failed sees its own name in the row and takes the lease again. The
// stronger candidate must then ask for the new lease too.
void t.test('a handover is asked for again when the release of the lease failed', async t => {
  const { host, standin } = await setup(t)
  let requestCount = 0
  const weak: ReturnType<typeof host> = host('weak', {
    capacity: 300,
    onHandoverRequest: () => {
      requestCount += 1
      standin.faults.down = requestCount === 1
      void weak.duty.handOver().then(() => {
        standin.faults.down = false
      })
    },
  })
  await waitUntil(() => tokenOf(weak.duty) === 1)
  const strong = host('strong', { capacity: 1_300 })
  await waitUntil(async () => {
    await Promise.all([
      advanceInSteps(weak, 200, smallStepMs),
      advanceInSteps(strong, 200, smallStepMs),
    ])
    return tokenOf(strong.duty) !== undefined
  })
  t.equal(requestCount, 2)
  t.equal(tokenOf(weak.duty), undefined)
})

// Guards against a stronger candidate that waits for ever: a request that the store carries out late
// can overwrite a newer one.
void t.test('a request that an earlier one has overwritten is made again', async t => {
  const { host } = await setup(t)
  const weak = host('weak', { capacity: 300 })
  await waitUntil(() => tokenOf(weak.duty) === 1)
  const strong = host('strong', { capacity: 1_300 })
  const key = 'd/handover'
  const requestedToken = async () => {
    await Promise.all([
      advanceInSteps(weak, 200, smallStepMs),
      advanceInSteps(strong, 200, smallStepMs),
    ])
    return (await weak.table.read<{ token: number }>('duties', key))?.value.token
  }
  await waitUntil(async () => (await requestedToken()) === 1)
  const value = { token: 0, candidate: 'strong', capacity: 1_300 }
  await weak.table.commit({ checks: [], writes: [{ table: 'duties', key, value }] })
  await waitUntil(async () => (await requestedToken()) === 1)
  t.equal(tokenOf(weak.duty), 1)
})

// Guards against fencing tokens of two holders that overlap: a holder also uses the numbers up to the
// next multiple of the stride, and a process without a stride may have held the lease before.
void t.test('tokens are multiples of the stride', async t => {
  const { host } = await setup(t)
  const first = host('a')
  await waitUntil(() => tokenOf(first.duty) === 1)
  await first.duty.close()
  for (const token of [1_024, 2_048]) {
    const next = host('b', { tokenStride: 1_024 })
    await waitUntil(async () => {
      await advanceInSteps(next, 250)
      return tokenOf(next.duty) === token
    })
    await next.duty.close()
  }
})
