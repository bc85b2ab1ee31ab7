import { serveCallers, type CallerServerRoleOptions } from './client-limits.js'
import { measureJobSize, type JobSizeOptions } from './job-size.js'
import { generateLoad, type LoadOptions } from './load.js'
import { simulatePolicies, type PolicyOptions } from './policy.js'
import { servePlainRunner } from './plain-runner.js'
import { serveRelay, type RelayOptions } from './relay.js'

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`)
}

/**
 * Functions that the bench program runs in a child process, by the role that `startChild` names.
 * Each prints its results as JSON lines, which the parent process reads.
 */
export const roles: Record<string, (opts: never) => Promise<void>> = {
  load: async (opts: LoadOptions) => {
    const results = await generateLoad(opts, {
      measure: () => {
        printJson('measuring')
      },
      end: () => {
        printJson('measured')
      },
    })
    printJson(results)
  },
  'caller-server': async (opts: CallerServerRoleOptions) => {
    printJson(await serveCallers(opts))
  },
  'job-size': async (opts: JobSizeOptions) => {
    printJson(await measureJobSize(opts))
    process.exit(0)
  },
  relay: async (opts: RelayOptions) => {
    printJson(await serveRelay(opts))
  },
  policy: (opts: PolicyOptions) => {
    printJson(simulatePolicies(opts))
    return Promise.resolve()
  },
  runner: async (opts: { host: string }) => {
    printJson(await servePlainRunner(opts))
  },
}
