import { runCli } from './program.js'

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  write: text => process.stdout.write(`${text}\n`),
  writeError: text => process.stderr.write(`${text}\n`),
})
