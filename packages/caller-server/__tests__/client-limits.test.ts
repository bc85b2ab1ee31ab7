import t from 'tap'
import { chooseConnectionToClose, type ConnectionState } from '../src/client-limits.js'
import { createUsageCounter } from '../src/index.js'

// Guards against a count that is never released, after which an address is rejected for good, and
// against memory for each address that was ever seen.
void t.test('units are counted in total and by address, up to both bounds', t => {
  const usage = createUsageCounter({ max: 3, maxPerAddress: 2 })
  t.equal(usage.tryAdd('a'), undefined)
  t.equal(usage.tryAdd('a'), undefined)
  t.equal(usage.tryAdd('a'), 'address')
  t.equal(usage.tryAdd('b'), undefined)
  t.equal(usage.tryAdd('b'), 'process')
  t.equal(usage.total, 3, 'a rejected unit is not counted')
  usage.remove('a', 2)
  t.equal(usage.of('a'), 0)
  t.equal(usage.tryAdd('b'), undefined)
  t.equal(usage.total, 2)
  t.end()
})

const connection = (
  name: string,
  state: Partial<ConnectionState>,
): ConnectionState & { name: string } => ({
  name,
  address: 'a',
  openRequests: 0,
  isReceiving: false,
  isAnswered: false,
  activeAt: 0,
  ...state,
})

// Guards against a new connection that ends a request in progress while others are idle.
void t.test('the oldest idle connection is closed first', t => {
  const busy = connection('busy', { openRequests: 1, activeAt: 1 })
  const receiving = connection('receiving', { openRequests: 1, isReceiving: true, activeAt: 2 })
  const newer = connection('newer', { activeAt: 9 })
  const older = connection('older', { activeAt: 5 })
  const other = connection('other', { address: 'b', activeAt: 3 })
  const choose = (
    connections: ReturnType<typeof connection>[],
    address?: string,
    closesBusy = false,
  ) => {
    const choice = chooseConnectionToClose(connections, { address, closesBusy })
    return choice === undefined ? undefined : [choice.connection.name, choice.cause]
  }
  const all = [busy, receiving, newer, older, other]
  t.same(choose(all), ['other', 'idle-closed'])
  t.same(choose(all, 'a'), ['older', 'idle-closed'])
  t.same(choose([busy, receiving]), ['receiving', 'receiving-closed'])
  t.equal(choose([busy]), undefined, 'a complete request is not cut off')
  t.same(choose([busy], undefined, true), ['busy', 'busy-closed'])
  const unread = connection('unread', { openRequests: 2, isAnswered: true, activeAt: 9 })
  t.same(choose([busy, unread], undefined, true), ['unread', 'unread-closed'])
  t.equal(choose([unread]), undefined, 'callers get their responses')
  t.end()
})
