import { z } from 'zod'

/** Settings of all commands that send requests to an entry host. */
export const cliSettings = {
  entry: {
    schema: z.string(),
    description:
      'URL of an entry host, may be repeated; in the variable, URLs are separated by commas',
  },
  credential: { schema: z.string(), description: "operator's credential", secret: true },
} as const
