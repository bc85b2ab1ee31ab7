import t from 'tap'
import { parseJsonBody } from '../src/json-body.js'

void t.test('bodies are parsed in order, and an error names what is wrong', async t => {
  const order: number[] = []
  const bodies = Array.from({ length: 20 }, (_, n) => Buffer.from(`"${'x'.repeat(100_000)}${n}"`))
  const texts = await Promise.all(
    bodies.map(async (body, n) => {
      const text = await parseJsonBody(body)
      order.push(n)
      return text
    }),
  )
  t.same(
    texts,
    bodies.map(body => body.toString().slice(1, -1)),
  )
  t.same(order, [...bodies.keys()])
  await t.rejects(parseJsonBody(Buffer.from('{x')), SyntaxError)
  const large = Buffer.from(`"${'x'.repeat(900_000)}"`)
  t.equal(
    await parseJsonBody(large),
    'x'.repeat(900_000),
    'one body may exceed the bytes of a pass',
  )
})
