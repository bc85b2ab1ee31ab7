import assert from 'node:assert/strict'
import { stringify } from 'yaml'
import type { OperatorAnswer } from '../operator.js'
import type { ScenarioWorld } from '../scenario-world.js'
import type { Steps } from './registry.js'

function assertAccepted({ status, body }: OperatorAnswer): void {
  assert.equal(status, 200, `the order was refused: ${JSON.stringify(body)}`)
}

/** Accepted orders count from the moment at which the operator got the answer. */
async function order(
  world: ScenarioWorld,
  name: string,
  entryHost: number,
  path: string,
  body?: unknown,
): Promise<void> {
  const { bed } = await world.system()
  world.orderedAt.set(name, performance.now())
  assertAccepted(await bed.operator(entryHost - 1).post(path, body))
  world.acceptedAt.set(name, performance.now())
}

async function withdraw(world: ScenarioWorld, team: string, entryHost: number): Promise<void> {
  const { keys, withdrawn } = await world.system()
  withdrawn.add(team)
  const id = keys[team]?.id
  await order(world, `withdrawal of ${team}`, entryHost, 'keys/withdraw', { id })
}

async function documentWithLimit(world: ScenarioWorld, team: string, limit: number) {
  const system = await world.system()
  // A raised limit takes effect slowly, so that the next scenario needs a fresh system.
  system.isSpent = true
  const data = structuredClone(system.bed.sample.data) as { teams: { name: string }[] }
  data.teams = data.teams.map(each => (each.name === team ? { ...each, limit } : each))
  return stringify(data)
}

/** Steps of operators. */
export const operatorSteps: Steps = {
  'the operator withdraws the key of {string}': (world, team: string) => withdraw(world, team, 1),
  'the operator withdraws the key of {string} at entry host {int}': withdraw,
  'the operator withdraws the key of {string} at entry host {int} and it is not accepted': async (
    world,
    team: string,
    entryHost: number,
  ) => {
    const { bed, keys, withdrawn } = await world.system()
    withdrawn.add(team)
    const answer = await bed.operator(entryHost - 1).post('keys/withdraw', { id: keys[team]?.id })
    assertAccepted(answer)
    assert.equal(answer.body.accepted, false, JSON.stringify(answer.body))
  },
  'two operators withdraw the key of {string} at the same time': async (world, team: string) => {
    const { bed, keys, withdrawn } = await world.system()
    withdrawn.add(team)
    const body = { id: keys[team]?.id }
    const answers = await Promise.all([0, 1].map(n => bed.operator(n).post('keys/withdraw', body)))
    assert.ok(
      answers.some(({ status }) => status === 200),
      `no withdrawal was accepted: ${JSON.stringify(answers)}`,
    )
    world.acceptedAt.set(`withdrawal of ${team}`, performance.now())
  },
  'the operator takes zone {string} out': (world, zone: string) =>
    order(world, `zone ${zone} out`, 1, `zones/${zone}/out`),
  'the operator takes zone {string} out at entry host {int}': (world, zone: string, n: number) =>
    order(world, `zone ${zone} out`, n, `zones/${zone}/out`),
  'the operator brings zone {string} back': (world, zone: string) =>
    order(world, `zone ${zone} back`, 1, `zones/${zone}/back`),
  'the operator promotes an upper limit of {int} for {string}': async (
    world,
    limit: number,
    team: string,
  ) => {
    const { bed } = await world.system()
    assertAccepted(await bed.operator().promote(await documentWithLimit(world, team, limit)))
    world.promotedLimit = limit
    world.acceptedAt.set(`promotion for ${team}`, performance.now())
  },
  'two operators promote upper limits of {int} and {int} for {string} at the same time': async (
    world,
    first: number,
    second: number,
    team: string,
  ) => {
    const { bed } = await world.system()
    const texts = await Promise.all(
      [first, second].map(limit => documentWithLimit(world, team, limit)),
    )
    // Both operators must have seen the same version, or the later one wins rightly.
    const trials = await Promise.all(texts.map((text, n) => bed.operator(n).trial(text)))
    const { expectedVersion } = trials[0] ?? { expectedVersion: 0 }
    const answers = await Promise.all(
      trials.map(({ digest }, n) => bed.operator(n).post('promote', { digest, expectedVersion })),
    )
    const accepted = answers.map(({ status }) => status === 200)
    const message = `exactly one must win: ${JSON.stringify(answers)}`
    assert.equal(accepted.filter(Boolean).length, 1, message)
    world.promotedLimit = accepted[0] === true ? first : second
    world.acceptedAt.set(`promotion for ${team}`, performance.now())
  },
}
