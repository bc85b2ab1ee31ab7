import t from 'tap'
import { createTestbed, until } from '@bulrushbridge/testbed'

/** Answer to an operator who asks for the decision records of a request. */
interface Explanation {
  decisions: { rule: string; observed: Record<string, unknown>; action: string }[]
}

void t.test('guards against refusals that leave no decision record', async t => {
  const bed = await createTestbed({ entryHosts: 1, runners: 2 })
  t.teardown(() => bed.close())
  const readDecisions = async (id: string) => {
    const { body } = await bed.operator().get(`explain/request/${id}`)
    return (body as unknown as Explanation).decisions
  }
  const refusals = [
    { req: { key: bed.sample.keys.mills ?? '' }, kind: 'key-wrong-team' },
    { req: { key: 'blr_no-key' }, kind: 'key-malformed' },
    { req: { queue: 'nowhere' }, kind: 'unknown-queue' },
  ]
  for (const { req, kind } of refusals) {
    const answer = await bed.send(0, 'lamps', req)
    t.same([answer.kind, answer.outcome], [kind, 'not-run'])
    await until(async () => (await readDecisions(answer.requestId)).length > 0)
    t.match(await readDecisions(answer.requestId), [
      { rule: kind, observed: { outcome: 'not-run' } },
    ])
  }
  const served = await bed.send(0, 'lamps')
  t.equal(served.status, 200)
  t.same(await readDecisions(served.requestId), [], 'a served request has no record')
})
