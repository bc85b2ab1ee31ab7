import t from 'tap'
import { emptyConfiguration } from '@bulrushbridge/contract'
import { authenticateOperator, credentialDigest } from '../src/index.js'

void t.test('a secret may contain an underscore, which is in the base64url alphabet', t => {
  const credential = 'blro_ops_ab_cd-ef'
  const digest = credentialDigest(credential)
  t.equal(authenticateOperator(`Bearer ${credential}`, emptyConfiguration(), digest), 'ops')
  t.end()
})
