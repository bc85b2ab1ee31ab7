import {
  array,
  binary,
  command,
  flag,
  multioption,
  number,
  option,
  optional,
  positional,
  runSafely,
  string,
  subcommands,
} from 'cmd-ts'
import { findSecretArgument, programVersion } from '@bulrushbridge/settings'
import { cliSettings } from './cli-settings.js'
import { CommandError } from './command-error.js'
import {
  createOperatorApiClient,
  type OperatorApiClient,
  type SendRequest,
} from './operator-api-client.js'
import { exitStatusHelp, cliExitStatuses } from './exit-status.js'
import {
  checkFile,
  diffFiles,
  generateKeyAndDigest,
  readTextFile,
  type CommandOutput,
} from './offline-commands.js'
import {
  submitChange,
  diffWithCurrent,
  showDecisions,
  showHistory,
  showStatus,
  runTrial,
} from './online-commands.js'

/** Access of the program to its process and the network; tests replace it. */
export interface CliContext {
  env: Record<string, string | undefined>
  write: (text: string) => void
  writeError: (text: string) => void
  send?: SendRequest
}

const json = flag({ long: 'json', description: 'print JSON' })
const file = positional({ type: string, displayName: 'file' })
const connectionArgs = {
  entry: multioption({
    long: 'entry',
    type: array(string),
    description: `${cliSettings.entry.description} (BULRUSH_ENTRY)`,
  }),
  credentialFile: option({
    long: 'credential-file',
    type: optional(string),
    description: `file with the ${cliSettings.credential.description}; or BULRUSH_CREDENTIAL`,
  }),
}
interface ConnectionArgs {
  entry: string[]
  credentialFile: string | undefined
}

/** Runs `bulrush` with the arguments after the program's name; returns the exit status. */
export async function runCli(args: string[], context: CliContext): Promise<number> {
  const secretArgumentError = findSecretArgument(args, ['credential'])
  if (secretArgumentError !== undefined) {
    context.writeError(secretArgumentError)
    return cliExitStatuses.usage.status
  }
  const result = await runSafely(binary(createProgram(context)), ['node', 'bulrush', ...args])
  if (result._tag === 'ok') return unwrapStatus(result.value)
  const { message, into, exitCode } = result.error.config
  if (into === 'stdout') context.write(message)
  else context.writeError(message)
  // cmd-ts shows help when the subcommand is missing; this is wrong usage, as no command has run.
  if (args.length === 0) return cliExitStatuses.usage.status
  return exitCode === 0 ? cliExitStatuses.done.status : cliExitStatuses.usage.status
}

/** Extracts the exit status. cmd-ts wraps it in `{ command, value }` once per subcommand level. */
function unwrapStatus(value: unknown): number {
  if (typeof value === 'number') return value
  return unwrapStatus((value as { value: unknown }).value)
}

function createProgram(context: CliContext) {
  const createClient = ({ entry, credentialFile }: ConnectionArgs): OperatorApiClient =>
    createOperatorApiClient({
      entryHostUrls: entry.length > 0 ? entry : splitList(context.env.BULRUSH_ENTRY),
      credential: readCredential(credentialFile, context.env),
      ...(context.send ? { send: context.send } : {}),
    })
  const execute = (isJsonOutput: boolean, action: () => CommandOutput | Promise<CommandOutput>) =>
    runCommand(context, isJsonOutput, action)
  const zoneCommand = (direction: 'out' | 'back') =>
    command({
      name: direction,
      args: { name: positional({ type: string, displayName: 'zone' }), json, ...connectionArgs },
      handler: args =>
        execute(args.json, () =>
          submitChange(
            createClient(args),
            `zones/${encodeURIComponent(args.name)}/${direction}`,
            {},
          ),
        ),
    })
  const id = positional({ type: string, displayName: 'id' })

  return subcommands({
    name: 'bulrush',
    version: programVersion,
    description: `Controls a fleet through its entry hosts. ${exitStatusHelp()}`,
    cmds: {
      check: command({
        name: 'check',
        description: 'check a document, offline',
        args: { file, json },
        handler: args => execute(args.json, () => checkFile(args.file)),
      }),
      diff: command({
        name: 'diff',
        description: 'compare a document with the one in force, or two documents offline',
        args: {
          file,
          other: positional({ type: optional(string), displayName: 'newer file' }),
          json,
          ...connectionArgs,
        },
        handler: args =>
          execute(args.json, () =>
            args.other === undefined
              ? diffWithCurrent(createClient(args), args.file)
              : diffFiles(args.file, args.other),
          ),
      }),
      trial: command({
        name: 'trial',
        description: 'show what a promotion would do, and prove the document',
        args: { file, json, ...connectionArgs },
        handler: args => execute(args.json, () => runTrial(createClient(args), args.file)),
      }),
      promote: command({
        name: 'promote',
        description: 'promote a document that was proved in trial',
        args: {
          digest: positional({ type: string, displayName: 'digest' }),
          expectedVersion: option({ long: 'expected-version', type: number }),
          json,
          ...connectionArgs,
        },
        handler: ({ digest, expectedVersion, ...args }) =>
          execute(args.json, () =>
            submitChange(createClient(args), 'promote', { digest, expectedVersion }),
          ),
      }),
      status: command({
        name: 'status',
        args: { json, ...connectionArgs },
        handler: args => execute(args.json, () => showStatus(createClient(args))),
      }),
      history: command({
        name: 'history',
        args: {
          limit: option({ long: 'limit', type: number, defaultValue: () => 50 }),
          json,
          ...connectionArgs,
        },
        handler: args => execute(args.json, () => showHistory(createClient(args), args.limit)),
      }),
      explain: command({
        name: 'explain',
        args: {
          kind: positional({ type: string, displayName: 'kind' }),
          id,
          json,
          ...connectionArgs,
        },
        handler: args =>
          execute(args.json, () => showDecisions(createClient(args), args.kind, args.id)),
      }),
      zone: subcommands({
        name: 'zone',
        cmds: { out: zoneCommand('out'), back: zoneCommand('back') },
      }),
      key: subcommands({
        name: 'key',
        cmds: {
          generate: command({
            name: 'generate',
            description: 'generate a key or, with --operator, a credential; offline',
            args: { id, operator: flag({ long: 'operator' }), json },
            handler: args =>
              execute(args.json, () =>
                generateKeyAndDigest(args.operator ? 'operator' : 'team', args.id),
              ),
          }),
          grant: command({
            name: 'grant',
            args: {
              id,
              team: option({ long: 'team', type: string }),
              digest: option({ long: 'digest', type: string, description: 'SHA-256 of the key' }),
              json,
              ...connectionArgs,
            },
            handler: ({ id, team, digest, ...args }) =>
              execute(args.json, () =>
                submitChange(createClient(args), 'keys/grant', { id, team, digest }),
              ),
          }),
          withdraw: command({
            name: 'withdraw',
            args: { id, json, ...connectionArgs },
            handler: ({ id, ...args }) =>
              execute(args.json, () => submitChange(createClient(args), 'keys/withdraw', { id })),
          }),
        },
      }),
    },
  })
}

/** Reads the credential. No flag contains it, because other users can list program arguments. */
function readCredential(file: string | undefined, env: CliContext['env']): string {
  const path = file ?? env.BULRUSH_CREDENTIAL_FILE
  return (path === undefined ? env.BULRUSH_CREDENTIAL : readTextFile(path))?.trim() ?? ''
}

function splitList(text: string | undefined): string[] {
  return (text ?? '').split(',').filter(part => part !== '')
}

/** Runs a command, prints its output or its error, and returns the exit status. */
async function runCommand(
  context: CliContext,
  isJsonOutput: boolean,
  action: () => CommandOutput | Promise<CommandOutput>,
): Promise<number> {
  try {
    const output = await action()
    context.write(isJsonOutput ? JSON.stringify(output.json, undefined, 2) : output.text)
    return cliExitStatuses[output.exitKind ?? 'done'].status
  } catch (err) {
    if (!(err instanceof CommandError)) throw err
    if (isJsonOutput)
      context.write(
        JSON.stringify({ error: { ...err.details, message: err.message } }, undefined, 2),
      )
    else context.writeError(err.message)
    return cliExitStatuses[err.exitKind].status
  }
}
