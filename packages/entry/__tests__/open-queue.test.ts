import t from 'tap'
import { emptyConfiguration, type QueueDefinition } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import { createKeyring, generateTeamKey } from '@bulrushbridge/team-keys'
import { ownerOf } from '../src/call-handler.js'

const { key, digest } = generateTeamKey('lamps-1')
const keyring = createKeyring({
  keys: { ...emptyConfiguration(), keys: { 'lamps-1': { id: 'lamps-1', team: 'lamps', digest } } },
})
const queue = (fields: Partial<QueueDefinition>): QueueDefinition => ({
  name: 'q',
  team: 'open',
  ...fields,
})

void t.test('a queue of one team refuses requests of other teams and without a key', t => {
  t.throws(
    () => ownerOf(keyring, queue({ team: 'mills' }), `Bearer ${key}`),
    new RequestError('key-wrong-team'),
  )
  t.throws(
    () => ownerOf(keyring, queue({ team: 'mills' }), undefined),
    new RequestError('key-missing'),
  )
  t.end()
})

void t.test('an open queue charges the team of the key, and a guest team only without a key', t => {
  const open = queue({ guestTeam: 'guests' })
  t.equal(ownerOf(keyring, open, `Bearer ${key}`).team, 'lamps')
  t.equal(ownerOf(keyring, open, undefined).team, 'guests')
  t.throws(() => ownerOf(keyring, open, `Bearer ${key}x`), new RequestError('key-invalid'))
  t.throws(() => ownerOf(keyring, queue({}), undefined), new RequestError('key-missing'))
  t.end()
})
