// Writes docs/settings.md and the generated table of error kinds in docs/interface.md.
import { build } from 'esbuild'
import { readFileSync, writeFileSync } from 'node:fs'

const outfile = 'dist/pages.mjs'
await build({
  entryPoints: ['scripts/pages.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  external: ['prettier'],
  logLevel: 'warning',
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
})
const { generatePages } = await import(`../${outfile}`)
const pages = await generatePages(path => readFileSync(path, 'utf8'))
for (const [path, text] of Object.entries(pages)) writeFileSync(path, text)
