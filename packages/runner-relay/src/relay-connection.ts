import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { z } from 'zod'
import { createLineWriter, readLines, type LineWriter } from './line-stream.js'
import { createPauseDetector } from './pause-detector.js'
import {
  aliveId,
  instanceHeader,
  relayedResultSchema,
  relayPath,
  type RelayedCall,
} from './relay-messages.js'

/** Time within which a relay must accept a connection, in milliseconds. */
const openTimeoutMs = 1_000

/** Silence after which a relay is given up, in milliseconds; it sends something every 200 ms. */
const maxSilenceMs = 700

/** Interval of the checks for silence and overdue calls, in milliseconds. */
const checkIntervalMs = 100

/** Delay of a check from which this process itself counts as paused, in milliseconds. */
const pauseToleranceMs = 200

type WithoutId<C> = C extends RelayedCall ? Omit<C, 'id'> : never

/** A call before it has a number. */
export type UnnumberedCall = WithoutId<RelayedCall>

/** Options of {@link openRelayConnection}. */
export interface RelayConnectionOptions {
  /** Name of the host of the relay. */
  host: string
  /** `ip:port` of the relay. */
  address: string
  /** The process that is expected there. */
  instance: string
  /** Called once when the relay has accepted the connection. */
  onOpen: () => void
  /** Called once when the connection has ended; its pending calls are then settled. */
  onClosed: (reason: string, pendingCalls: number) => void
}

/** A dispatcher's connection to one relay. */
export interface RelayConnection {
  /** Name of the host of the relay. */
  readonly host: string
  readonly isOpen: boolean
  /**
   * Makes a call through the relay. Resolves to undefined when it is not known whether the call was
   * made: the relay did not answer by the deadline, or the connection has ended.
   */
  call<T>(
    call: UnnumberedCall,
    resultSchema: z.ZodType<T>,
    deadline: number,
  ): Promise<T | undefined>
  /** Settles the pending calls to a runner as if the connection had ended. */
  abandon(runnerId: string): void
  close(reason: string): void
}

/**
 * Opens a connection to a relay. It is given up when the relay is silent, or late with the result of
 * a call.
 *
 * @example
 * const connection = openRelayConnection({ host: 'front-2', address, instance, onOpen, onClosed })
 */
export function openRelayConnection(opts: RelayConnectionOptions): RelayConnection {
  return new HttpRelayConnection(opts)
}

interface PendingCall {
  runnerId: string
  deadline: number
  settle: (result: unknown) => void
}

class HttpRelayConnection implements RelayConnection {
  readonly host: string
  readonly #opts: RelayConnectionOptions
  readonly #req: ClientRequest
  readonly #calls: LineWriter
  readonly #pending = new Map<number, PendingCall>()
  readonly #checkTimer: NodeJS.Timeout
  #isOpen = false
  #isClosed = false
  #lastCallId = 0
  #silenceDeadline: number

  constructor(opts: RelayConnectionOptions) {
    this.#opts = opts
    this.host = opts.host
    const [host, port] = opts.address.split(':')
    this.#silenceDeadline = performance.now() + openTimeoutMs
    this.#req = request({ host, port, path: relayPath, method: 'POST', agent: false })
    this.#req.flushHeaders()
    this.#calls = createLineWriter(this.#req, 0)
    this.#req.on('response', res => {
      this.#acceptResponse(res)
    })
    this.#req.on('error', err => {
      this.close(err.message)
    })
    this.#checkTimer = this.#startChecks()
  }

  get isOpen(): boolean {
    return this.#isOpen && !this.#isClosed
  }

  async call<T>(
    call: UnnumberedCall,
    resultSchema: z.ZodType<T>,
    deadline: number,
  ): Promise<T | undefined> {
    if (!this.isOpen) return undefined
    const id = ++this.#lastCallId
    const { runnerId } = call
    const result = await new Promise<unknown>(settle => {
      this.#pending.set(id, { runnerId, deadline, settle })
      this.#calls.write(JSON.stringify({ id, ...call }))
    })
    if (result === undefined) return undefined
    const parsed = resultSchema.safeParse(result)
    if (parsed.success) return parsed.data
    this.close('the result of a call is malformed')
    return undefined
  }

  abandon(runnerId: string): void {
    for (const [id, call] of this.#pending) {
      if (call.runnerId !== runnerId) continue
      this.#pending.delete(id)
      call.settle(undefined)
    }
  }

  close(reason: string): void {
    if (this.#isClosed) return
    this.#isClosed = true
    clearInterval(this.#checkTimer)
    this.#req.destroy()
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    this.#opts.onClosed(reason, pending.length)
    for (const { settle } of pending) settle(undefined)
  }

  #acceptResponse(res: IncomingMessage): void {
    const { instance, onOpen } = this.#opts
    res.on('close', () => {
      this.close('the relay closed the connection')
    })
    res.on('error', err => {
      this.close(err.message)
    })
    if (res.statusCode !== 200 || res.headers[instanceHeader] !== instance) {
      this.close('another process is at the address')
      return
    }
    this.#isOpen = true
    this.#extendSilence()
    readLines(
      res,
      line => {
        this.#extendSilence()
        this.#applyLine(line)
      },
      () => {
        this.close('a line is too long')
      },
    )
    onOpen()
  }

  #applyLine(line: string): void {
    let id: number
    let result: unknown
    try {
      ;({ id, result } = relayedResultSchema.parse(JSON.parse(line)))
    } catch {
      this.close('a line is malformed')
      return
    }
    if (id === aliveId) return
    const call = this.#pending.get(id)
    this.#pending.delete(id)
    call?.settle(result)
  }

  #extendSilence(): void {
    this.#silenceDeadline = performance.now() + maxSilenceMs
  }

  #startChecks(): NodeJS.Timeout {
    const pauseDetector = createPauseDetector({
      intervalMs: checkIntervalMs,
      toleranceMs: pauseToleranceMs,
    })
    return setInterval(() => {
      // What the relay sent while this process was paused or busy is read after this check.
      const pausedMs = pauseDetector.check()
      if (pausedMs > 0) {
        this.#silenceDeadline += pausedMs
        for (const call of this.#pending.values()) call.deadline += pausedMs
        return
      }
      const now = performance.now()
      if (now > this.#silenceDeadline) this.close('the relay is silent')
      else if ([...this.#pending.values()].some(({ deadline }) => now > deadline))
        this.close('the relay is late with a result')
    }, checkIntervalMs)
  }
}
