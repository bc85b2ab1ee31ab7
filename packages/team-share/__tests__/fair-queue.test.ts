import t from 'tap'
import { createFairQueue } from '../src/index.js'

const shares = new Map([
  ['a', 3],
  ['b', 1],
])

/** Serves one request at a time for `totalMs` and returns the time used per team. */
function serve(queue: ReturnType<typeof createFairQueue>, now: { ms: number }, totalMs: number) {
  const durations: Record<string, number> = { a: 10, b: 170 }
  const used: Record<string, number> = { a: 0, b: 0 }
  for (const end = now.ms + totalMs; now.ms < end;) {
    const team = queue.next() ?? ''
    const charge = queue.recordStart(team)
    now.ms += durations[team] ?? 0
    used[team] = (used[team] ?? 0) + (durations[team] ?? 0)
    queue.recordEnd(charge)
  }
  return used
}

void t.test('guards against a team that gets more because its requests are long', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares, clock: { now: () => now.ms } })
  queue.activate('a')
  queue.activate('b')
  const used = serve(queue, now, 100_000)
  t.ok(Math.abs((used.b ?? 0) / 100_000 - 0.25) < 0.01, `b used ${used.b ?? 0} ms`)
  t.end()
})

void t.test('guards against credit for idle time', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares, clock: { now: () => now.ms } })
  queue.activate('a')
  serve(queue, now, 50_000)
  queue.activate('b')
  const used = serve(queue, now, 10_000)
  t.ok((used.b ?? 0) < 3000, `b used ${used.b ?? 0} of 10000 ms`)
  t.end()
})

void t.test('guards against a blocked team that stops others or loses its place', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares, clock: { now: () => now.ms } })
  queue.activate('a')
  queue.activate('b')
  queue.block('a')
  t.equal(queue.next(), 'b')
  serve(queue, now, 5000)
  queue.unblock('a')
  t.equal(queue.next(), 'a')
  const used = serve(queue, now, 10_000)
  t.ok((used.b ?? 0) > 1900, `b used ${used.b ?? 0} of 10000 ms after the block`)
  t.end()
})

void t.test('guards against a team that waits because of a cost charged at an old weight', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares: new Map([['a', 0.01]]), clock: { now: () => now.ms } })
  queue.activate('a')
  queue.activate('b')
  queue.recordStart('a')
  queue.setWeights([
    ['a', 10],
    ['b', 1],
  ])
  const used = serve(queue, now, 20_000)
  t.ok((used.a ?? 0) > 17_000, `a used ${used.a ?? 0} of 20000 ms`)
  t.end()
})

void t.test('guards against a request whose actual time is never charged', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares, clock: { now: () => now.ms } })
  queue.activate('a')
  queue.activate('b')
  serve(queue, now, 20_000)
  const charge = queue.recordStart('a')
  now.ms += 10_000
  queue.recordEnd(charge)
  t.equal(serve(queue, now, 3000).a, 0)
  t.end()
})

void t.test('guards against a bound that ordinary requests exceed', t => {
  const now = { ms: 0 }
  const queue = createFairQueue({ shares, clock: { now: () => now.ms } })
  // Durations are spread evenly over 90 to 110 ms, as in a burst of similar requests.
  for (let i = 0; i < 200; i++) {
    const charge = queue.recordStart('a')
    now.ms += 90 + ((i * 7) % 21)
    queue.recordEnd(charge)
  }
  t.ok(queue.boundMs('a') > 110)
  t.ok(queue.boundMs('a') < 150)
  const slow = queue.recordStart('a')
  now.ms += 1_000
  queue.recordEnd(slow)
  t.ok(queue.boundMs('a') < 200, 'one slow request does not set the bound for all')
  for (let i = 0; i < 50; i++) {
    const charge = queue.recordStart('a')
    now.ms += 1_000
    queue.recordEnd(charge)
  }
  t.ok(queue.boundMs('a') > 900, 'a lasting change raises the bound')
  t.end()
})
