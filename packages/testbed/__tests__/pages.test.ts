import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { generatePages } from '../../../scripts/pages.js'

const root = join(import.meta.dirname, '../../..')
const readText = (path: string) => readFileSync(join(root, path), 'utf8')

void t.test('the generated pages match the code', async t => {
  const pages = await generatePages(readText)
  for (const [path, text] of Object.entries(pages)) {
    t.equal(readText(path), text, `${path} is current; otherwise run node scripts/pages.mjs`)
  }
})
