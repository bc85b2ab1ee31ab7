import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

/**
 * Child process that runs one role of the bench program. Its CPU time is counted apart from that of
 * the parent process.
 */
export interface RoleProcess {
  readonly pid: number
  /**
   * Reads the next line that the child process prints and parses it as JSON.
   *
   * @throws Error when the child process closes its standard output before it prints a line.
   */
  readNextLine(): Promise<unknown>
  /** Kills the child process and resolves once it has exited. */
  killAndWait(): Promise<void>
}

/**
 * Starts this program again as a child process that runs one of the `roles`.
 *
 * @example
 * const relay = startChild('relay', { targets: ['127.0.0.1:8000'] })
 */
export function startRoleProcess(role: string, opts: unknown): RoleProcess {
  const args = [process.argv[1] ?? '', 'role', role, JSON.stringify(opts)]
  const child: ChildProcess = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  if (child.stdout === null || child.pid === undefined)
    throw new Error(`the child process for role ${role} did not start`)
  const exited = once(child, 'exit')
  const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]()
  return {
    pid: child.pid,
    readNextLine: async () => {
      const line = await lines.next()
      if (line.done === true)
        throw new Error(`the child process for role ${role} ended before it printed a result`)
      return JSON.parse(line.value) as unknown
    },
    killAndWait: async () => {
      child.kill('SIGKILL')
      await exited
    },
  }
}
