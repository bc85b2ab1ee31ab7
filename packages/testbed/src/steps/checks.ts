import assert from 'node:assert/strict'
import type { RecordedStart } from '../run-recorder.js'
import type { ScenarioWorld } from '../scenario-world.js'
import type { RecordedCall } from '../traffic.js'
import type { Steps } from './registry.js'

/** Everything recorded in a scenario, after callers and faults have ended. */
export async function results(world: ScenarioWorld) {
  const calls = await world.calls()
  const { recorder, bed } = await world.system()
  assert.ok(calls.length > 0, 'the scenario sent no request, so the check would prove nothing')
  return { calls, starts: recorder.starts, bed }
}

function isAnswered({ answer }: RecordedCall): boolean {
  return answer.status >= 200 && answer.status < 300
}

function acceptedAt(world: ScenarioWorld, order: string): number {
  const at = world.acceptedAt.get(order)
  assert.ok(at !== undefined, `there was no ${order}`)
  return at
}

/** Shows the first few offenders, with times relative to `from`. */
function describe(starts: RecordedStart[], from = 0): string {
  const shown = starts.slice(0, 5).map(({ requestId, runner, at }) => {
    const ms = Math.round(at - from)
    return `${requestId} at ${runner} after ${ms} ms`
  })
  return `${starts.length} starts: ${shown.join(', ')}`
}

/** No start that `isConcerned` picks may come later than the bound after the order. */
export async function assertNoneLater(
  world: ScenarioWorld,
  order: string,
  seconds: number,
  isConcerned: (start: RecordedStart) => boolean,
  until = Infinity,
): Promise<void> {
  const { calls, starts } = await results(world)
  const from = acceptedAt(world, order)
  const bound = from + seconds * 1_000
  const sentLater = calls.filter(({ sentAt }) => sentAt > bound && sentAt < until)
  assert.ok(sentLater.length > 0, 'no request was sent after the bound')
  const concerned = starts.filter(isConcerned)
  assert.ok(
    concerned.some(({ at }) => at < from),
    'nothing that the order concerns started before it',
  )
  const late = concerned.filter(({ at }) => at > bound && at < until)
  assert.equal(late.length, 0, describe(late, from))
}

/** Bounds on starts after an order. */
const orderChecks: Steps = {
  'no request started for {string} later than {float} seconds after the withdrawal was accepted': (
    world,
    team: string,
    seconds: number,
  ) => assertNoneLater(world, `withdrawal of ${team}`, seconds, start => start.team === team),
  'no request started for {string} later than {float} seconds after entry host {int} was reached again':
    (world, team: string, seconds: number, n: number) =>
      assertNoneLater(world, `return of e${n}`, seconds, start => start.team === team),
  'no request started in zone {string} later than {float} seconds after it was taken out': (
    world,
    zone: string,
    seconds: number,
  ) =>
    assertNoneLater(
      world,
      `zone ${zone} out`,
      seconds,
      start => start.zone === zone,
      world.orderedAt.get(`zone ${zone} back`),
    ),
  'requests started in zone {string} again after it was brought back': async (
    world,
    zone: string,
  ) => {
    const { starts } = await results(world)
    const from = acceptedAt(world, `zone ${zone} back`)
    assert.ok(starts.some(start => start.zone === zone && start.at > from))
  },
  'no request started at runner {int} later than {float} seconds after its shutdown began': (
    world,
    n: number,
    seconds: number,
  ) => assertNoneLater(world, `shutdown of r${n}`, seconds, start => start.runner === `r${n}`),
}

/** What one entry host did; request ids begin with its id. */
const entryChecks: Steps = {
  'entry host {int} started nothing later than {float} seconds after it was cut off': (
    world,
    n: number,
    seconds: number,
  ) => assertNoneLater(world, `cut of e${n}`, seconds, isStartOf(n)),
  'entry host {int} started requests later than {float} seconds after entry host {int} was cut off':
    async (world, n: number, seconds: number, other: number) => {
      const { starts } = await results(world)
      const from = acceptedAt(world, `cut of e${other}`) + seconds * 1_000
      assert.ok(starts.some(start => isStartOf(n)(start) && start.at > from))
    },
  'requests were refused with {string}': async (world, kind: string) => {
    const { calls } = await results(world)
    assert.ok(
      calls.some(({ answer }) => answer.kind === kind && answer.outcome === 'not-run'),
      summary(calls, calls),
    )
  },
}

function isStartOf(n: number) {
  return ({ requestId }: RecordedStart) => requestId.startsWith(`e${n}.`)
}

/** Starts and the requests that callers sent. */
const startChecks: Steps = {
  'no more than {int} requests of {string} ever ran at the same time': async (
    world,
    limit: number,
    team: string,
  ) => {
    const { starts } = await results(world)
    const ofTeam = starts.filter(start => start.team === team)
    assert.ok(ofTeam.length > 0, `nothing of ${team} started`)
    const over = ofTeam.filter(({ running }) => running > limit)
    const most = Math.max(...ofTeam.map(({ running }) => running))
    assert.equal(over.length, 0, `${most} ran at once; ${describe(over)}`)
  },
  'no request of {string} started beyond the promoted limit later than {float} seconds after the promotion':
    async (world, team: string, seconds: number) => {
      const limit = world.promotedLimit ?? 0
      await assertNoneLater(
        world,
        `promotion for ${team}`,
        seconds,
        start => start.team === team && start.running > limit,
      )
    },
  'requests of {string} started later than {float} seconds after the withdrawal': async (
    world,
    team: string,
    seconds: number,
  ) => {
    const { starts } = await results(world)
    const order = [...world.acceptedAt.keys()].find(name => name.startsWith('withdrawal'))
    const from = acceptedAt(world, order ?? 'withdrawal') + seconds * 1_000
    assert.ok(starts.some(start => start.team === team && start.at > from))
  },
  'orders were refused for want of the store': async world => {
    const { calls, starts } = await results(world)
    const refused = calls.filter(({ answer }) => answer.kind === 'store-unavailable')
    assert.ok(refused.length > 0, 'no order was refused for want of the store')
    // A lookup that failed cannot exclude an earlier attempt; only one that succeeded can.
    const claims = refused.filter(({ answer }) => answer.outcome !== 'unknown')
    const ids = new Set(claims.map(({ answer }) => answer.requestId))
    assert.equal(starts.filter(({ requestId }) => ids.has(requestId)).length, 0)
  },
  'no request that was refused as not run was started': async world => {
    const { calls, starts } = await results(world)
    const refused = calls.filter(({ answer }) => answer.outcome === 'not-run')
    assert.ok(refused.length > 0, 'no request was refused as not run')
    const ids = new Set(refused.map(({ answer }) => answer.requestId))
    const started = starts.filter(({ requestId }) => ids.has(requestId))
    assert.equal(started.length, 0, describe(started))
  },
  'no idempotency key was started more than once': async world => {
    const { calls, starts } = await results(world)
    const keyed = calls.filter(({ idempotencyKey }) => idempotencyKey !== undefined)
    assert.ok(keyed.length > 0, 'no request carried an idempotency key')
    const repeats = repeated(starts.map(start => start.idempotencyKey))
    assert.deepEqual(repeats, [])
  },
  'no merge was started more than once': async world => {
    const { calls, starts } = await results(world)
    const merges = new Set(calls.filter(({ kind }) => kind === 'merges').map(call => call.token))
    const tokens = starts.map(({ path }) => tokenOf(path)).filter(token => merges.has(token))
    assert.ok(tokens.length > 0, 'no merge started')
    assert.deepEqual(repeated(tokens), [])
  },
  'no request with a wrong key was started': async world => {
    const { calls, starts } = await results(world)
    const wrong = new Set(calls.filter(call => call.isWrongKey).map(({ token }) => token))
    assert.ok(wrong.size > 0, 'no request had a wrong key')
    const started = starts.filter(({ path }) => wrong.has(tokenOf(path)))
    assert.equal(started.length, 0, describe(started))
  },
  'every request with a wrong key was refused with {string}': async (world, kind: string) => {
    const { calls } = await results(world)
    const wrong = calls.filter(call => call.isWrongKey)
    assert.ok(wrong.length > 0, 'no request had a wrong key')
    const other = wrong.filter(({ answer }) => answer.kind !== kind)
    assert.equal(other.length, 0, summary(other, wrong))
  },
}

export function repeated(names: (string | undefined)[]): string[] {
  const seen = new Set<string>()
  return names.filter((name): name is string => {
    if (name === undefined) return false
    const isRepeat = seen.has(name)
    seen.add(name)
    return isRepeat
  })
}

export function tokenOf(path: string): string {
  return new URL(path, 'http://runner').searchParams.get('token') ?? ''
}

/** What callers saw. */
const answerChecks: Steps = {
  'every answer is whole and belongs to its own request': async world => {
    const { calls, starts } = await results(world)
    const answered = calls.filter(isAnswered)
    assert.ok(answered.length > 0, 'no request was answered')
    const tokens = new Map(starts.map(start => [start.requestId, tokenOf(start.path)]))
    const wrong = answered.filter(call => !isOwnAnswer(call, tokens))
    const shown = wrong.slice(0, 3).map(({ token, answer }) => ({ token, ...answer }))
    assert.equal(wrong.length, 0, `${wrong.length} wrong answers: ${JSON.stringify(shown)}`)
  },
  'no request was cut': async world => {
    const { calls } = await results(world)
    const cut = calls.filter(({ answer }) => answer.kind === 'cut')
    assert.equal(cut.length, 0, `${cut.length} of ${calls.length} requests were cut`)
  },
  'every request was answered': async world => {
    const { calls } = await results(world)
    const other = calls.filter(call => !isAnswered(call))
    assert.equal(other.length, 0, summary(other, calls))
  },
  'at least {int} requests were answered': async (world, count: number) => {
    const { calls } = await results(world)
    const answered = calls.filter(isAnswered).length
    assert.ok(answered >= count, `${answered} were answered; ${summary(calls, calls)}`)
  },
  'the answered part of the requests is within the availability budget': async world => {
    const { calls, bed } = await results(world)
    const { services } = bed.sample.data as {
      services: { availability: { minServing: number } }[]
    }
    const least = services[0]?.availability.minServing ?? 1
    const answered = calls.filter(isAnswered).length / calls.length
    assert.ok(answered >= least, `${answered} is under ${least}: ${summary(calls, calls)}`)
  },
  'every entry host that was told to stop ended with status 0': async world => {
    await results(world)
    assert.ok(world.exits.length > 0, 'no entry host was told to stop')
    const statuses = await Promise.all(world.exits)
    assert.ok(
      statuses.every(status => status === 0),
      `the statuses were ${statuses.join(', ')}`,
    )
  },
}

/** Counts of answers by status, kind and outcome. */
function summary(some: RecordedCall[], all: RecordedCall[]): string {
  const counts: Record<string, number> = {}
  for (const { answer } of some) {
    const name = `${answer.status} ${answer.kind} ${answer.outcome}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return `${some.length} of ${all.length}: ${JSON.stringify(counts)}`
}

/**
 * Whether the body came from a run of this very request: its id is that of a start with the
 * caller's token, and its digest is that of the body sent. A repeat may carry the id of the first
 * attempt.
 */
function isOwnAnswer(call: RecordedCall, tokens: ReadonlyMap<string, string>): boolean {
  let body: { id?: string; digest?: string; filler?: string }
  try {
    body = JSON.parse(call.answer.body) as typeof body
  } catch {
    return false
  }
  const isFirst = call.idempotencyKey === undefined
  return (
    tokens.get(body.id ?? '') === call.token &&
    (!isFirst || body.id === call.answer.requestId) &&
    body.digest === call.bodyDigest &&
    body.filler?.length === call.fillerBytes
  )
}

/** All checks. */
export const checkSteps: Steps = { ...orderChecks, ...entryChecks, ...startChecks, ...answerChecks }
