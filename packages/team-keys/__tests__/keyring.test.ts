import { inspect } from 'node:util'
import { emptyConfiguration } from '@bulrushbridge/contract'
import { RequestError } from '@bulrushbridge/errors'
import t from 'tap'
import { createKeyring, generateTeamKey } from '../src/index.js'

const lab = generateTeamKey('lab')
const shop = generateTeamKey('shop')
const cfg = {
  ...emptyConfiguration(),
  keys: { lab: { id: 'lab', team: 'lumen', digest: lab.digest } },
  grantedKeys: { shop: { id: 'shop', team: 'mill', digest: shop.digest } },
}
const currentKeyring = createKeyring({ keys: cfg })

function captureError(header: string | undefined, keyring = currentKeyring): RequestError {
  try {
    keyring.parseAuthorization(header)
  } catch (err) {
    if (err instanceof RequestError) return err
  }
  throw new Error('the header was accepted')
}

void t.test('document keys and granted keys are mapped to their team', t => {
  const owner = currentKeyring.parseAuthorization(`Bearer ${lab.key}`)
  t.same(owner, { team: 'lumen', keyId: 'lab', digest: lab.digest })
  t.equal(currentKeyring.parseAuthorization(`bearer ${shop.key}`).team, 'mill')
  t.end()
})

void t.test('a wrong header is refused with the kind that describes it', t => {
  t.equal(captureError(undefined).kind, 'key-missing')
  const malformed = [
    'Basic abc',
    'Bearer blr_lab_short',
    `Bearer ${lab.key} x`,
    `Bearer blr_lab_${'a'.repeat(600)}`,
  ]
  for (const header of malformed) t.equal(captureError(header).kind, 'key-malformed', header)
  const wrong = [
    `Bearer ${generateTeamKey('lab').key}`,
    `Bearer ${generateTeamKey('nobody').key}`,
    `Bearer blr_constructor_${'a'.repeat(40)}`,
  ]
  for (const header of wrong) t.equal(captureError(header).kind, 'key-invalid', header)
  t.end()
})

void t.test('a withdrawn or replaced key also fails the second check', t => {
  const withdrawn = createKeyring({ keys: { ...cfg, withdrawnKeys: ['lab', 'shop'] } })
  t.equal(captureError(`Bearer ${lab.key}`, withdrawn).kind, 'key-invalid')
  t.equal(captureError(`Bearer ${shop.key}`, withdrawn).kind, 'key-invalid')
  t.equal(withdrawn.isCurrent('lab', lab.digest), false)
  t.equal(currentKeyring.isCurrent('lab', lab.digest), true)
  t.equal(currentKeyring.isCurrent('lab', shop.digest), false)
  t.end()
})

void t.test('no key appears in errors or inspected objects', t => {
  const secret = lab.key.slice('blr_lab_'.length)
  for (const header of [`Bearer ${lab.key}!`, `Bearer blr_x_${secret}`]) {
    const err = captureError(header)
    const shown = inspect(err, { depth: 9, showHidden: true }) + String(err.stack)
    t.notMatch(shown, secret)
  }
  currentKeyring.parseAuthorization(`Bearer ${lab.key}`)
  t.notMatch(inspect(currentKeyring, { depth: 9, showHidden: true }), secret)
  t.end()
})

void t.test('an operator cannot generate a key whose id the header pattern rejects', t => {
  t.throws(() => generateTeamKey('Lab_1'), RangeError)
  t.end()
})
