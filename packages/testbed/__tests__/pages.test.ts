import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { generatePages } from '../../../scripts/pages.js'

const root = join(import.meta.dirname, '../../..')
const read = (path: string) => readFileSync(join(root, path), 'utf8')

void t.test('generated pages are current, so that they describe the code', async t => {
  const pages = await generatePages(read)
  for (const [path, text] of Object.entries(pages)) {
    t.equal(read(path), text, `${path} is current; else run node scripts/pages.mjs`)
  }
})
