import assert from 'node:assert/strict'
import { stringify } from 'yaml'
import type { OperatorResponse } from '../operator.js'
import type { ScenarioWorld } from '../scenario-world.js'
import type { Steps } from './registry.js'

function assertAccepted({ status, body }: OperatorResponse): void {
  assert.equal(status, 200, `the order was refused: ${JSON.stringify(body)}`)
}

/**
 * Sends an order of the operator at the n-th entry host. Bounds count from the time at which the
 * operator received the response that accepts it.
 */
async function sendOrder(
  world: ScenarioWorld,
  name: string,
  entryHost: number,
  path: string,
  body?: unknown,
): Promise<void> {
  const { testbed } = await world.system()
  world.orderSentTimes.set(name, performance.now())
  assertAccepted(await testbed.operator(entryHost - 1).post(path, body))
  world.eventTimes.set(name, performance.now())
}

async function withdrawKey(world: ScenarioWorld, team: string, entryHost: number): Promise<void> {
  const { keys, withdrawnKeyTeams } = await world.system()
  withdrawnKeyTeams.add(team)
  const id = keys[team]?.id
  await sendOrder(world, `withdrawal of ${team}`, entryHost, 'keys/withdraw', { id })
}

/** Returns the YAML of the sample document with another upper limit for one team. */
async function createDocumentWithLimit(world: ScenarioWorld, team: string, limit: number) {
  const system = await world.system()
  // A raised limit takes effect slowly, so the next scenario needs a new system.
  system.isUnrecoverable = true
  const data = structuredClone(system.testbed.sample.data) as { teams: { name: string }[] }
  data.teams = data.teams.map(item => (item.name === team ? { ...item, limit } : item))
  return stringify(data)
}

/** Steps in which operators send orders. */
export const operatorSteps: Steps = {
  'the operator withdraws the key of {string}': (world, team: string) =>
    withdrawKey(world, team, 1),
  'the operator withdraws the key of {string} at entry host {int}': withdrawKey,
  'the operator withdraws the key of {string} at entry host {int} and the withdrawal is not accepted':
    async (world, team: string, entryHost: number) => {
      const { testbed, keys, withdrawnKeyTeams } = await world.system()
      withdrawnKeyTeams.add(team)
      const response = await testbed
        .operator(entryHost - 1)
        .post('keys/withdraw', { id: keys[team]?.id })
      assertAccepted(response)
      assert.equal(response.body.accepted, false, JSON.stringify(response.body))
    },
  'two operators withdraw the key of {string} at the same time': async (world, team: string) => {
    const { testbed, keys, withdrawnKeyTeams } = await world.system()
    withdrawnKeyTeams.add(team)
    const body = { id: keys[team]?.id }
    const responses = await Promise.all(
      [0, 1].map(n => testbed.operator(n).post('keys/withdraw', body)),
    )
    assert.ok(
      responses.some(({ status }) => status === 200),
      `no withdrawal was accepted: ${JSON.stringify(responses)}`,
    )
    world.eventTimes.set(`withdrawal of ${team}`, performance.now())
  },
  'the operator takes zone {string} out': (world, zone: string) =>
    sendOrder(world, `zone ${zone} out`, 1, `zones/${zone}/out`),
  'the operator takes zone {string} out at entry host {int}': (world, zone: string, n: number) =>
    sendOrder(world, `zone ${zone} out`, n, `zones/${zone}/out`),
  'the operator brings zone {string} back': (world, zone: string) =>
    sendOrder(world, `zone ${zone} back`, 1, `zones/${zone}/back`),
  'the operator promotes an upper limit of {int} for {string}': async (
    world,
    limit: number,
    team: string,
  ) => {
    const { testbed } = await world.system()
    assertAccepted(
      await testbed.operator().promote(await createDocumentWithLimit(world, team, limit)),
    )
    world.promotedLimit = limit
    world.eventTimes.set(`promotion for ${team}`, performance.now())
  },
  'two operators promote upper limits of {int} and {int} for {string} at the same time': async (
    world,
    first: number,
    second: number,
    team: string,
  ) => {
    const { testbed } = await world.system()
    const texts = await Promise.all(
      [first, second].map(limit => createDocumentWithLimit(world, team, limit)),
    )
    // Both operators must expect the same version; otherwise both promotions may be accepted.
    const trials = await Promise.all(texts.map((text, n) => testbed.operator(n).trial(text)))
    const { expectedVersion } = trials[0] ?? { expectedVersion: 0 }
    const responses = await Promise.all(
      trials.map(({ digest }, n) =>
        testbed.operator(n).post('promote', { digest, expectedVersion }),
      ),
    )
    const accepted = responses.map(({ status }) => status === 200)
    const message = `exactly one promotion must be accepted: ${JSON.stringify(responses)}`
    assert.equal(accepted.filter(Boolean).length, 1, message)
    world.promotedLimit = accepted[0] === true ? first : second
    world.eventTimes.set(`promotion for ${team}`, performance.now())
  },
}
