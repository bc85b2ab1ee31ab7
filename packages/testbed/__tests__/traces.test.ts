import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import { createTestbed, until } from '../src/index.js'

interface OtlpSpan {
  traceId: string
  spanId: string
  parentSpanId: string
  name: string
  startTimeUnixNano: string
  endTimeUnixNano: string
}
interface OtlpBody {
  resourceSpans: { scopeSpans: { spans: OtlpSpan[] }[] }[]
}

void t.test('a sampled request has a span for each hop, below the span of its caller', async t => {
  const spans: OtlpSpan[] = []
  const collector = createServer((req, res) => {
    let body = ''
    req.on('data', (chunk: Buffer) => (body += chunk.toString()))
    req.on('end', () => {
      const { resourceSpans } = JSON.parse(body) as OtlpBody
      spans.push(...resourceSpans.flatMap(r => r.scopeSpans.flatMap(scope => scope.spans)))
      res.end('{}')
    })
  })
  await new Promise<void>(resolve => collector.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    collector.closeAllConnections()
    collector.close()
  })
  const { port } = collector.address() as AddressInfo
  const testbed = await createTestbed({
    entryHosts: 1,
    zones: ['a', 'b'],
    runners: 2,
    env: { BULRUSH_TRACE_URL: `http://127.0.0.1:${port}/v1/traces`, BULRUSH_TRACE_RATIO: '0' },
  })
  t.teardown(() => testbed.close())

  const [traceId, parentSpanId] = ['0af7651916cd43dd8448eb211c80319c', 'b7ad6b7169203331']
  const send = (flags: string) =>
    testbed.send(0, 'lamps', { headers: { traceparent: `00-${traceId}-${parentSpanId}-${flags}` } })
  t.equal((await send('00')).status, 200)
  t.equal((await send('01')).status, 200)
  await until(() => spans.length >= 3)
  t.same(
    spans.map(({ name }) => name).sort(),
    ['call', 'queue', 'upstream'],
    'only the sampled request has spans',
  )
  t.ok(spans.every(span => span.traceId === traceId))
  const call = spans.find(({ name }) => name === 'call')
  t.equal(call?.parentSpanId, parentSpanId)
  for (const span of spans.filter(other => other !== call)) {
    t.equal(span.parentSpanId, call?.spanId, span.name)
    t.ok(BigInt(span.endTimeUnixNano) >= BigInt(span.startTimeUnixNano), span.name)
  }
})
