// Bundles each program into one file in dist/.
import { build } from 'esbuild'
import { existsSync, rmSync } from 'node:fs'

const programs = {
  'bulrush-entry': 'packages/entry/src/main.ts',
  'bulrush-control': 'packages/control/src/main.ts',
  bulrush: 'packages/cli/src/main.ts',
  'bulrush-standin': 'packages/standins/src/main.ts',
  demo: 'packages/testbed/src/demo.ts',
  bench: 'bench/main.ts',
}

rmSync('dist', { recursive: true, force: true })
const present = Object.fromEntries(Object.entries(programs).filter(([, file]) => existsSync(file)))

await build({
  entryPoints: present,
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  sourcemap: 'linked',
  logLevel: 'warning',
  // Some CommonJS dependencies call require() on built-in modules.
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
})
