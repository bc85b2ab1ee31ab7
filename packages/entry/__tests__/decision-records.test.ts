import t from 'tap'
import { createTestbed, until } from '@bulrushbridge/testbed'

interface Explained {
  decisions: { rule: string; observed: Record<string, unknown>; action: string }[]
}

void t.test('guards against refusals that leave no decision record', async t => {
  const bed = await createTestbed({ entryHosts: 1, runners: 2 })
  t.teardown(() => bed.close())
  const explain = async (id: string) => {
    const { body } = await bed.operator().get(`explain/request/${id}`)
    return (body as unknown as Explained).decisions
  }
  const refusals = [
    { req: { key: bed.sample.keys.mills ?? '' }, kind: 'key-wrong-team' },
    { req: { key: 'blr_no-key' }, kind: 'key-malformed' },
    { req: { queue: 'nowhere' }, kind: 'unknown-queue' },
  ]
  for (const { req, kind } of refusals) {
    const answer = await bed.send(0, 'lamps', req)
    t.same([answer.kind, answer.outcome], [kind, 'not-run'])
    await until(async () => (await explain(answer.requestId)).length > 0)
    t.match(await explain(answer.requestId), [{ rule: kind, observed: { outcome: 'not-run' } }])
  }
  const served = await bed.send(0, 'lamps')
  t.equal(served.status, 200)
  t.same(await explain(served.requestId), [], 'a request that was served leaves none')
})
