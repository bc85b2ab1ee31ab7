import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Time for a program to print its first line, in milliseconds. */
const startMs = 20_000

/** Bytes of logs that are kept of each process, for reports of failures. */
const maxLogBytes = 200_000

/** Program names as built into `dist/`. */
export type ProgramName = 'bulrush-entry' | 'bulrush-control' | 'bulrush' | 'bulrush-standin'

/** A program that runs as a process of its own. */
export interface RunningProgram {
  readonly process: ChildProcess
  /** What it printed when it was ready. */
  readonly ready: Record<string, string>
  /** The newest part of its log. */
  log(): string
  kill(signal: NodeJS.Signals): void
  /** Resolves with the exit status, or 128 and more after a signal. */
  ended(): Promise<number>
}

function programPath(name: ProgramName): string {
  // The path differs between the bundles in dist/ and the sources.
  const base = import.meta.url.includes('/dist/') ? './' : '../../../dist/'
  return fileURLToPath(new URL(`${base}${name}.mjs`, import.meta.url))
}

/**
 * Starts a program and waits until it prints its first line, which is JSON.
 *
 * @example
 * const entry = await launch('bulrush-entry', ['--member', 'e1', ...])
 */
export async function launch(
  name: ProgramName,
  args: string[],
  env: Record<string, string> = {},
): Promise<RunningProgram> {
  const child = spawn(process.execPath, [programPath(name), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  })
  let log = ''
  child.stderr.on('data', (chunk: Buffer) => {
    log = (log + chunk.toString()).slice(-maxLogBytes)
  })
  const ended = once(child, 'exit').then(([code]) => (code as number | null) ?? 128)
  const lines = createInterface({ input: child.stdout })
  const timer = setTimeout(() => child.kill('SIGKILL'), startMs)
  const first = await Promise.race([
    once(lines, 'line').then(([line]) => line as string),
    ended.then(status => Promise.reject(new Error(`${name} ended with ${status}: ${log}`))),
  ])
  clearTimeout(timer)
  lines.on('line', () => undefined)
  return {
    process: child,
    ready: JSON.parse(first) as Record<string, string>,
    log: () => log,
    kill: signal => {
      child.kill(signal)
    },
    ended: () => ended,
  }
}

/**
 * Runs a program to its end and returns its status and output.
 *
 * @example
 * const { status, stdout } = await runToEnd('bulrush', ['status', '--json'])
 */
export async function runToEnd(
  name: ProgramName,
  args: string[],
  env: Record<string, string> = {},
): Promise<{ status: number; stdout: string; stderr: string }> {
  const child = spawn(process.execPath, [programPath(name), ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  })
  let stdout = ''
  let stderr = ''
  child.stdout.on('data', (chunk: Buffer) => (stdout += chunk.toString()))
  child.stderr.on('data', (chunk: Buffer) => (stderr += chunk.toString()))
  const [code] = (await once(child, 'close')) as [number | null]
  return { status: code ?? 128, stdout, stderr }
}
