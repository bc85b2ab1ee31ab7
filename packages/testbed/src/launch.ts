import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Time within which a program must print its first line, in milliseconds. */
const startTimeoutMs = 20_000

/** Length of the log that is kept for each process, in characters; failures print it. */
const maxLogBytes = 200_000

/** Names of the programs that the build writes to `dist/`. */
export type ProgramName = 'bulrush-entry' | 'bulrush-control' | 'bulrush' | 'bulrush-standin'

/** A program that runs as a child process. */
export interface RunningProgram {
  readonly process: ChildProcess
  /** The JSON object that the program printed when it was ready, such as its addresses. */
  readonly readyOutput: Record<string, string>
  /** Returns the end of its log. */
  log(): string
  /** Sends a signal to the process. */
  kill(signal: NodeJS.Signals): void
  /** Resolves with the exit status, or with 128 after a signal. */
  waitForExit(): Promise<number>
}

function programPath(name: ProgramName): string {
  // This module runs from the bundles in dist/ or from the sources.
  const base = import.meta.url.includes('/dist/') ? './' : '../../../dist/'
  return fileURLToPath(new URL(`${base}${name}.mjs`, import.meta.url))
}

/** Bounds of a process whose behaviour at its limits is tested. */
export interface ProcessLimits {
  /** Limit of the heap and size of its semi-spaces, in megabytes. */
  maxHeapMb: number
  maxSemiSpaceMb: number
  /** Most descriptors that it may open. */
  maxOpenFiles: number
}

/**
 * Returns the command and arguments that start a program of Node with limits. A shell sets them and removes
 * the options that the test runner adds to each child; their source maps take tens of megabytes of the heap.
 *
 * @example
 * const child = spawn(...limitedCommand([programPath], { maxHeapMb: 64, maxSemiSpaceMb: 4, maxOpenFiles: 400 }))
 */
export function limitedCommand(args: string[], limits: ProcessLimits): [string, string[]] {
  const script = `ulimit -n ${limits.maxOpenFiles}; unset NODE_OPTIONS; exec "$0" "$@"`
  const heap = [
    `--max-old-space-size=${limits.maxHeapMb}`,
    `--max-semi-space-size=${limits.maxSemiSpaceMb}`,
  ]
  return ['sh', ['-c', script, process.execPath, ...heap, ...args]]
}

/**
 * Starts a program and waits until it prints its first line, a JSON object.
 *
 * @throws Error when the program exits before that line.
 * @example
 * const entry = await launch('bulrush-entry', ['--member', 'e1', ...])
 */
export async function launch(
  name: ProgramName,
  args: string[],
  env: Record<string, string> = {},
  limits?: ProcessLimits,
): Promise<RunningProgram> {
  const programArgs = [programPath(name), ...args]
  const command: [string, string[]] =
    limits === undefined ? [process.execPath, programArgs] : limitedCommand(programArgs, limits)
  const child = spawn(...command, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  })
  let log = ''
  child.stderr.on('data', (chunk: Buffer) => {
    log = (log + chunk.toString()).slice(-maxLogBytes)
  })
  const ended = once(child, 'exit').then(([code]) => (code as number | null) ?? 128)
  const lines = createInterface({ input: child.stdout })
  const timer = setTimeout(() => child.kill('SIGKILL'), startTimeoutMs)
  const firstLine = await Promise.race([
    once(lines, 'line').then(([line]) => line as string),
    ended.then(status =>
      Promise.reject(new Error(`${name} exited with status ${status} before it was ready: ${log}`)),
    ),
  ])
  clearTimeout(timer)
  lines.on('line', () => undefined)
  return {
    process: child,
    readyOutput: JSON.parse(firstLine) as Record<string, string>,
    log: () => log,
    kill: signal => {
      child.kill(signal)
    },
    waitForExit: () => ended,
  }
}

/**
 * Runs a program until it exits; returns its exit status (128 after a signal) and its output.
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
