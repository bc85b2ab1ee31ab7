import t from 'tap'
import { emptyConfiguration } from '@bulrushbridge/contract'
import { authenticate, credentialDigest } from '../src/index.js'

void t.test('a secret with an underscore is accepted, as base64url has one', t => {
  const credential = 'blro_ops_ab_cd-ef'
  const digest = credentialDigest(credential)
  t.equal(authenticate(`Bearer ${credential}`, emptyConfiguration(), digest), 'ops')
  t.end()
})
