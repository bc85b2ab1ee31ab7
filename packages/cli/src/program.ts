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
import { createEntryClient, type EntryClient, type Send } from './entry-client.js'
import { exitHelp, exitTable } from './exit-status.js'
import { checkFile, diffFiles, generateKey, readDocument, type Output } from './offline.js'
import { change, diffInForce, explain, history, status, trial } from './online.js'

/** Surroundings of the program; tests replace them. */
export interface Surroundings {
  env: Record<string, string | undefined>
  write: (text: string) => void
  writeError: (text: string) => void
  send?: Send
}

const json = flag({ long: 'json', description: 'print JSON' })
const file = positional({ type: string, displayName: 'file' })
const connection = {
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
interface Connection {
  entry: string[]
  credentialFile: string | undefined
}

/** Runs `bulrush` with the arguments after the program's name; returns the exit status. */
export async function runCli(args: string[], around: Surroundings): Promise<number> {
  const exposed = findSecretArgument(args, ['credential'])
  if (exposed !== undefined) {
    around.writeError(exposed)
    return exitTable.usage.status
  }
  const result = await runSafely(binary(createProgram(around)), ['node', 'bulrush', ...args])
  if (result._tag === 'ok') return findStatus(result.value)
  const { message, into, exitCode } = result.error.config
  if (into === 'stdout') around.write(message)
  else around.writeError(message)
  // cmd-ts shows help when the subcommand is missing, but nothing was done.
  if (args.length === 0) return exitTable.usage.status
  return exitCode === 0 ? exitTable.done.status : exitTable.usage.status
}

/** Subcommands wrap the result of a command in `{ command, value }`. */
function findStatus(value: unknown): number {
  if (typeof value === 'number') return value
  return findStatus((value as { value: unknown }).value)
}

function createProgram(around: Surroundings) {
  const connect = ({ entry, credentialFile }: Connection): EntryClient =>
    createEntryClient({
      entries: entry.length > 0 ? entry : splitList(around.env.BULRUSH_ENTRY),
      credential: findCredential(credentialFile, around.env),
      ...(around.send ? { send: around.send } : {}),
    })
  const print = (asJson: boolean, run: () => Output | Promise<Output>) =>
    report(around, asJson, run)
  const zone = (direction: 'out' | 'back') =>
    command({
      name: direction,
      args: { name: positional({ type: string, displayName: 'zone' }), json, ...connection },
      handler: a =>
        print(a.json, () =>
          change(connect(a), `zones/${encodeURIComponent(a.name)}/${direction}`, {}),
        ),
    })
  const id = positional({ type: string, displayName: 'id' })

  return subcommands({
    name: 'bulrush',
    version: programVersion,
    description: `Controls a fleet through its entry hosts. ${exitHelp()}`,
    cmds: {
      check: command({
        name: 'check',
        description: 'check a document, offline',
        args: { file, json },
        handler: a => print(a.json, () => checkFile(a.file)),
      }),
      diff: command({
        name: 'diff',
        description: 'compare a document with the one in force, or two documents offline',
        args: {
          file,
          other: positional({ type: optional(string), displayName: 'newer file' }),
          json,
          ...connection,
        },
        handler: a =>
          print(a.json, () =>
            a.other === undefined ? diffInForce(connect(a), a.file) : diffFiles(a.file, a.other),
          ),
      }),
      trial: command({
        name: 'trial',
        description: 'show what a promotion would do, and prove the document',
        args: { file, json, ...connection },
        handler: a => print(a.json, () => trial(connect(a), a.file)),
      }),
      promote: command({
        name: 'promote',
        description: 'promote a document that was proved in trial',
        args: {
          digest: positional({ type: string, displayName: 'digest' }),
          expectedVersion: option({ long: 'expected-version', type: number }),
          json,
          ...connection,
        },
        handler: ({ digest, expectedVersion, ...a }) =>
          print(a.json, () => change(connect(a), 'promote', { digest, expectedVersion })),
      }),
      status: command({
        name: 'status',
        args: { json, ...connection },
        handler: a => print(a.json, () => status(connect(a))),
      }),
      history: command({
        name: 'history',
        args: {
          limit: option({ long: 'limit', type: number, defaultValue: () => 50 }),
          json,
          ...connection,
        },
        handler: a => print(a.json, () => history(connect(a), a.limit)),
      }),
      explain: command({
        name: 'explain',
        args: { kind: positional({ type: string, displayName: 'kind' }), id, json, ...connection },
        handler: a => print(a.json, () => explain(connect(a), a.kind, a.id)),
      }),
      zone: subcommands({ name: 'zone', cmds: { out: zone('out'), back: zone('back') } }),
      key: subcommands({
        name: 'key',
        cmds: {
          generate: command({
            name: 'generate',
            description: 'generate a key or, with --operator, a credential; offline',
            args: { id, operator: flag({ long: 'operator' }), json },
            handler: a => print(a.json, () => generateKey(a.operator ? 'operator' : 'team', a.id)),
          }),
          grant: command({
            name: 'grant',
            args: {
              id,
              team: option({ long: 'team', type: string }),
              digest: option({ long: 'digest', type: string, description: 'SHA-256 of the key' }),
              json,
              ...connection,
            },
            handler: ({ id, team, digest, ...a }) =>
              print(a.json, () => change(connect(a), 'keys/grant', { id, team, digest })),
          }),
          withdraw: command({
            name: 'withdraw',
            args: { id, json, ...connection },
            handler: ({ id, ...a }) =>
              print(a.json, () => change(connect(a), 'keys/withdraw', { id })),
          }),
        },
      }),
    },
  })
}

/** Never a flag: the process list shows the arguments of every program. */
function findCredential(file: string | undefined, env: Surroundings['env']): string {
  const path = file ?? env.BULRUSH_CREDENTIAL_FILE
  return (path === undefined ? env.BULRUSH_CREDENTIAL : readDocument(path))?.trim() ?? ''
}

function splitList(text: string | undefined): string[] {
  return (text ?? '').split(',').filter(part => part !== '')
}

async function report(
  around: Surroundings,
  asJson: boolean,
  run: () => Output | Promise<Output>,
): Promise<number> {
  try {
    const output = await run()
    around.write(asJson ? JSON.stringify(output.json, undefined, 2) : output.text)
    return exitTable[output.exit ?? 'done'].status
  } catch (err) {
    if (!(err instanceof CommandError)) throw err
    if (asJson)
      around.write(
        JSON.stringify({ error: { ...err.details, message: err.message } }, undefined, 2),
      )
    else around.writeError(err.message)
    return exitTable[err.exit].status
  }
}
