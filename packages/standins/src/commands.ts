import { command } from 'cmd-ts'
import { defineSettings } from '@bulrushbridge/settings'
import { z } from 'zod'
import type { ListenOptions, Standin } from './fault-server.js'

/** Settings of the stand-ins that simulate the platform's services. */
export const listenSettings = {
  host: { schema: z.string(), description: 'address to listen on', default: '127.0.0.1' },
  port: {
    schema: z.coerce.number().int().min(0).max(65_535),
    description: 'port to listen on; 0 takes a free one',
    default: '0',
  },
}

/**
 * Creates a subcommand that runs one stand-in until the process receives SIGINT or SIGTERM.
 *
 * @example
 * const table = createStandinCommand('table', 'table service', createTableStandin)
 */
export function createStandinCommand(
  name: string,
  description: string,
  create: (opts: ListenOptions) => Promise<Standin>,
) {
  return command({
    name,
    description,
    args: defineSettings(listenSettings),
    handler: async ({ host, port }) => {
      const standin = await create({ host, port })
      process.stdout.write(`${JSON.stringify({ standin: name, url: standin.url })}\n`)
      for (const signal of ['SIGINT', 'SIGTERM'] as const) {
        process.once(signal, () => void standin.close())
      }
    },
  })
}
