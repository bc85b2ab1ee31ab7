import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'

/** A part of a measurement in a process of its own, so that its CPU time is counted apart. */
export interface Child {
  readonly pid: number
  /** The next line that it prints, parsed. */
  next(): Promise<unknown>
  end(): Promise<void>
}

/**
 * Starts this program again in a role of its own.
 *
 * @example
 * const relay = startChild('relay', { targets: ['127.0.0.1:8000'] })
 */
export function startChild(role: string, opts: unknown): Child {
  const args = [process.argv[1] ?? '', 'role', role, JSON.stringify(opts)]
  const child: ChildProcess = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'inherit'],
  })
  if (child.stdout === null || child.pid === undefined) throw new Error(`${role} did not start`)
  const ended = once(child, 'exit')
  const lines = createInterface({ input: child.stdout })[Symbol.asyncIterator]()
  return {
    pid: child.pid,
    next: async () => {
      const line = await lines.next()
      if (line.done === true) throw new Error(`${role} ended early`)
      return JSON.parse(line.value) as unknown
    },
    end: async () => {
      child.kill('SIGKILL')
      await ended
    },
  }
}
