// Bundles each program into one file in dist/. `--only NAME` bundles only that program, and
// `--outdir DIR` writes the files to another directory.
import { build } from 'esbuild'
import { existsSync, rmSync } from 'node:fs'
import { parseArgs } from 'node:util'

const { values: options } = parseArgs({
  options: { only: { type: 'string' }, outdir: { type: 'string', default: 'dist' } },
})

const programs = {
  'bulrush-entry': 'packages/entry/src/main.ts',
  'bulrush-control': 'packages/control/src/main.ts',
  'bulrush-host': 'packages/host-program/src/main.ts',
  bulrush: 'packages/cli/src/main.ts',
  'bulrush-standin': 'packages/standins/src/main.ts',
  demo: 'packages/testbed/src/demo.ts',
  bench: 'bench/main.ts',
}

rmSync(options.outdir, { recursive: true, force: true })
const selectedPrograms = Object.fromEntries(
  Object.entries(programs).filter(
    ([name, file]) => existsSync(file) && (options.only ?? name) === name,
  ),
)

await build({
  entryPoints: selectedPrograms,
  outdir: options.outdir,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  logLevel: 'warning',
  // Some bundled CommonJS dependencies call require() on built-in modules.
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
})
