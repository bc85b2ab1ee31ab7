import assert from 'node:assert/strict'
import type { RecordedStart } from '../run-recorder.js'
import type { ScenarioWorld } from '../scenario-world.js'
import type { RecordedCall } from '../traffic.js'
import type { Steps } from './registry.js'

/**
 * Returns everything that a scenario recorded, after its callers and faults have ended. Fails when
 * the scenario sent no request.
 */
export async function collectResults(world: ScenarioWorld) {
  const calls = await world.calls()
  const { recorder, testbed } = await world.system()
  assert.ok(
    calls.length > 0,
    'the scenario sent no request, so the check would pass without testing anything',
  )
  return { calls, starts: recorder.starts, testbed }
}

function isAnswered({ response }: RecordedCall): boolean {
  return response.status >= 200 && response.status < 300
}

function findEventTime(world: ScenarioWorld, event: string): number {
  const time = world.eventTimes.get(event)
  assert.ok(time !== undefined, `the scenario has no event '${event}'`)
  return time
}

/** Describes the first five of the starts, with their times relative to `from`. */
function describeStarts(starts: RecordedStart[], from = 0): string {
  const shown = starts.slice(0, 5).map(({ requestId, runner, startedAt }) => {
    const ms = Math.round(startedAt - from)
    return `${requestId} at ${runner} after ${ms} ms`
  })
  return `${starts.length} starts: ${shown.join(', ')}`
}

/**
 * Asserts that no start that `isAffected` selects is later than a number of seconds after an event,
 * such as the acceptance of an order. Starts and requests at `endTime` and later are ignored. Also
 * asserts that an affected request started before the event and that a request was sent after the
 * bound, because the check could not fail otherwise.
 */
export async function assertNoStartAfter(
  world: ScenarioWorld,
  event: string,
  seconds: number,
  isAffected: (start: RecordedStart) => boolean,
  endTime = Infinity,
): Promise<void> {
  const { calls, starts } = await collectResults(world)
  const from = findEventTime(world, event)
  const bound = from + seconds * 1_000
  const sentLater = calls.filter(({ sentAt }) => sentAt > bound && sentAt < endTime)
  assert.ok(sentLater.length > 0, 'no request was sent after the bound')
  const affected = starts.filter(isAffected)
  assert.ok(
    affected.some(({ startedAt }) => startedAt < from),
    'nothing that the order concerns started before it',
  )
  const late = affected.filter(({ startedAt }) => startedAt > bound && startedAt < endTime)
  assert.equal(late.length, 0, describeStarts(late, from))
}

/** Checks of the time within which an order or a fault stops new starts. */
const orderChecks: Steps = {
  'no request started for {string} later than {float} seconds after the withdrawal was accepted': (
    world,
    team: string,
    seconds: number,
  ) => assertNoStartAfter(world, `withdrawal of ${team}`, seconds, start => start.team === team),
  'no request started for {string} later than {float} seconds after entry host {int} was connected again':
    (world, team: string, seconds: number, n: number) =>
      assertNoStartAfter(world, `return of e${n}`, seconds, start => start.team === team),
  'no request started in zone {string} later than {float} seconds after it was taken out': (
    world,
    zone: string,
    seconds: number,
  ) =>
    assertNoStartAfter(
      world,
      `zone ${zone} out`,
      seconds,
      start => start.zone === zone,
      world.orderSentTimes.get(`zone ${zone} back`),
    ),
  'requests started in zone {string} again after it was brought back': async (
    world,
    zone: string,
  ) => {
    const { starts } = await collectResults(world)
    const from = findEventTime(world, `zone ${zone} back`)
    assert.ok(starts.some(start => start.zone === zone && start.startedAt > from))
  },
  'no request started at runner {int} later than {float} seconds after its shutdown began': (
    world,
    n: number,
    seconds: number,
  ) => assertNoStartAfter(world, `shutdown of r${n}`, seconds, start => start.runner === `r${n}`),
}

/** Checks of one entry host; the ids of the requests that it sends begin with its id. */
const entryChecks: Steps = {
  'entry host {int} started no request later than {float} seconds after it was cut off': (
    world,
    n: number,
    seconds: number,
  ) => assertNoStartAfter(world, `cut of e${n}`, seconds, isStartedBy(n)),
  'entry host {int} started requests later than {float} seconds after entry host {int} was cut off':
    async (world, n: number, seconds: number, other: number) => {
      const { starts } = await collectResults(world)
      const from = findEventTime(world, `cut of e${other}`) + seconds * 1_000
      assert.ok(starts.some(start => isStartedBy(n)(start) && start.startedAt > from))
    },
  'requests were refused with {string}': async (world, kind: string) => {
    const { calls } = await collectResults(world)
    assert.ok(
      calls.some(({ response }) => response.kind === kind && response.outcome === 'not-run'),
      summarizeResponses(calls, calls),
    )
  },
}

/** Returns a predicate for the starts of requests that came through the n-th entry host. */
function isStartedBy(n: number) {
  return ({ requestId }: RecordedStart) => requestId.startsWith(`e${n}.`)
}

/** Checks of the starts at the runners against the requests that callers sent. */
const startChecks: Steps = {
  'no more than {int} requests of {string} ever ran at the same time': async (
    world,
    limit: number,
    team: string,
  ) => {
    const { starts } = await collectResults(world)
    const teamStarts = starts.filter(start => start.team === team)
    assert.ok(teamStarts.length > 0, `no request of ${team} started`)
    const overLimit = teamStarts.filter(({ runningOfTeam }) => runningOfTeam > limit)
    const maxRunning = Math.max(...teamStarts.map(({ runningOfTeam }) => runningOfTeam))
    assert.equal(
      overLimit.length,
      0,
      `${maxRunning} ran at the same time; ${describeStarts(overLimit)}`,
    )
  },
  'no request of {string} started beyond the promoted limit later than {float} seconds after the promotion':
    async (world, team: string, seconds: number) => {
      const limit = world.promotedLimit ?? 0
      await assertNoStartAfter(
        world,
        `promotion for ${team}`,
        seconds,
        start => start.team === team && start.runningOfTeam > limit,
      )
    },
  'requests of {string} started later than {float} seconds after the withdrawal': async (
    world,
    team: string,
    seconds: number,
  ) => {
    const { starts } = await collectResults(world)
    const order = [...world.eventTimes.keys()].find(name => name.startsWith('withdrawal'))
    const from = findEventTime(world, order ?? 'withdrawal') + seconds * 1_000
    assert.ok(starts.some(start => start.team === team && start.startedAt > from))
  },
  'orders were refused because the store was unavailable': async world => {
    const { calls, starts } = await collectResults(world)
    const refused = calls.filter(({ response }) => response.kind === 'store-unavailable')
    assert.ok(refused.length > 0, 'no order was refused because the store was unavailable')
    // The outcome is unknown when the lookup of an earlier attempt failed: that attempt may have run.
    const notRun = refused.filter(({ response }) => response.outcome !== 'unknown')
    const ids = new Set(notRun.map(({ response }) => response.requestId))
    assert.equal(starts.filter(({ requestId }) => ids.has(requestId)).length, 0)
  },
  'no request that was refused as not run was started': async world => {
    const { calls, starts } = await collectResults(world)
    const refused = calls.filter(({ response }) => response.outcome === 'not-run')
    assert.ok(refused.length > 0, 'no request was refused as not run')
    const ids = new Set(refused.map(({ response }) => response.requestId))
    const started = starts.filter(({ requestId }) => ids.has(requestId))
    assert.equal(started.length, 0, describeStarts(started))
  },
  'no idempotency key was started more than once': async world => {
    const { calls, starts } = await collectResults(world)
    const callsWithKey = calls.filter(({ idempotencyKey }) => idempotencyKey !== undefined)
    assert.ok(callsWithKey.length > 0, 'no request carried an idempotency key')
    const repeats = findRepeated(starts.map(start => start.idempotencyKey))
    assert.deepEqual(repeats, [])
  },
  'no merge was started more than once': async world => {
    const { calls, starts } = await collectResults(world)
    const merges = new Set(calls.filter(({ kind }) => kind === 'merges').map(call => call.token))
    const tokens = starts.map(({ path }) => readToken(path)).filter(token => merges.has(token))
    assert.ok(tokens.length > 0, 'no merge started')
    assert.deepEqual(findRepeated(tokens), [])
  },
  'no request with a wrong key was started': async world => {
    const { calls, starts } = await collectResults(world)
    const wrong = new Set(calls.filter(call => call.isWrongKey).map(({ token }) => token))
    assert.ok(wrong.size > 0, 'no request had a wrong key')
    const started = starts.filter(({ path }) => wrong.has(readToken(path)))
    assert.equal(started.length, 0, describeStarts(started))
  },
  'every request with a wrong key was refused with {string}': async (world, kind: string) => {
    const { calls } = await collectResults(world)
    const wrong = calls.filter(call => call.isWrongKey)
    assert.ok(wrong.length > 0, 'no request had a wrong key')
    const unexpected = wrong.filter(({ response }) => response.kind !== kind)
    assert.equal(unexpected.length, 0, summarizeResponses(unexpected, wrong))
  },
}

/** Returns the second and later occurrences of each name; undefined is ignored. */
export function findRepeated(names: (string | undefined)[]): string[] {
  const seen = new Set<string>()
  return names.filter((name): name is string => {
    if (name === undefined) return false
    const isRepeat = seen.has(name)
    seen.add(name)
    return isRepeat
  })
}

/** Returns the token in the path of a start, or an empty string when it has none. */
export function readToken(path: string): string {
  return new URL(path, 'http://runner').searchParams.get('token') ?? ''
}

/** Checks of the responses that callers received. */
const responseChecks: Steps = {
  'every response is complete and belongs to its own request': async world => {
    const { calls, starts } = await collectResults(world)
    const answered = calls.filter(isAnswered)
    assert.ok(answered.length > 0, 'no request was answered')
    const tokens = new Map(starts.map(start => [start.requestId, readToken(start.path)]))
    const wrong = answered.filter(call => !isOwnResponse(call, tokens))
    const shown = wrong.slice(0, 3).map(({ token, response }) => ({ token, ...response }))
    assert.equal(wrong.length, 0, `${wrong.length} wrong responses: ${JSON.stringify(shown)}`)
  },
  'no request was cut': async world => {
    const { calls } = await collectResults(world)
    const cut = calls.filter(({ response }) => response.kind === 'cut')
    assert.equal(cut.length, 0, `${cut.length} of ${calls.length} requests were cut`)
  },
  'every request was answered': async world => {
    const { calls } = await collectResults(world)
    const unexpected = calls.filter(call => !isAnswered(call))
    assert.equal(unexpected.length, 0, summarizeResponses(unexpected, calls))
  },
  'at least {int} requests were answered': async (world, count: number) => {
    const { calls } = await collectResults(world)
    const answered = calls.filter(isAnswered).length
    assert.ok(answered >= count, `${answered} were answered; ${summarizeResponses(calls, calls)}`)
  },
  'the share of answered requests is within the availability budget': async world => {
    const { calls, testbed } = await collectResults(world)
    const { services } = testbed.sample.data as {
      services: { availability: { minServing: number } }[]
    }
    const minServing = services[0]?.availability.minServing ?? 1
    const answered = calls.filter(isAnswered).length / calls.length
    assert.ok(
      answered >= minServing,
      `the share of answered requests, ${answered}, is below ${minServing}: ${summarizeResponses(calls, calls)}`,
    )
  },
  'every entry host that received SIGTERM exited with status 0': async world => {
    await collectResults(world)
    assert.ok(world.exitStatuses.length > 0, 'no entry host received SIGTERM')
    const statuses = await Promise.all(world.exitStatuses)
    assert.ok(
      statuses.every(status => status === 0),
      `the exit statuses were ${statuses.join(', ')}`,
    )
  },
}

/** Counts the responses to the selected calls by status, error kind and outcome. */
function summarizeResponses(selected: RecordedCall[], all: RecordedCall[]): string {
  const counts: Record<string, number> = {}
  for (const { response } of selected) {
    const name = `${response.status} ${response.kind} ${response.outcome}`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return `${selected.length} of ${all.length}: ${JSON.stringify(counts)}`
}

/**
 * Whether a response belongs to its call: the id in the body is that of a start with the call's
 * token, the digest is that of the body that was sent, and the filler has the requested length. A
 * response to a call with an idempotency key may carry the request id of the first attempt.
 */
function isOwnResponse(call: RecordedCall, tokens: ReadonlyMap<string, string>): boolean {
  let body: { id?: string; digest?: string; filler?: string }
  try {
    body = JSON.parse(call.response.body) as typeof body
  } catch {
    return false
  }
  const isSingleAttempt = call.idempotencyKey === undefined
  return (
    tokens.get(body.id ?? '') === call.token &&
    (!isSingleAttempt || body.id === call.response.requestId) &&
    body.digest === call.bodyDigest &&
    body.filler?.length === call.fillerBytes
  )
}

/** Steps that check what a scenario recorded. */
export const checkSteps: Steps = {
  ...orderChecks,
  ...entryChecks,
  ...startChecks,
  ...responseChecks,
}
