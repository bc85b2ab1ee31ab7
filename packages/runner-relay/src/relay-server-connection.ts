import type { IncomingMessage, ServerResponse } from 'node:http'
import { normalizeError } from '@bulrushbridge/errors'
import type { CallResult, RunnerApi } from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { FenceRecord } from './fence-record.js'
import { createLineWriter, readLines, type LineWriter } from './line-stream.js'
import { aliveId, relayedCallSchema, relayFullReason, type RelayedCall } from './relay-messages.js'
import type { RelayLimitCause, RelayUsage } from './relay-usage.js'
import { createRunnerClients, type RunnerClients } from './runner-clients.js'

/**
 * Calls in progress from which a connection is not read. A dispatcher has one poll, and a few orders,
 * at each of some hundred runners.
 */
const maxCallsInProgress = 4_000

/** Time for which results wait so that several share a packet, in milliseconds. */
const resultDelayMs = 8

/** What the connections of one relay share. */
export interface RelayServerParts {
  createRunner: (opts: { address: string; runnerId: string }) => RunnerApi
  log: Logger
  fences: FenceRecord
  usage: RelayUsage<RelayServerConnection>
  closeAfterPause: () => boolean
  onCall: (kind: RelayedCall['kind']) => void
  /** Called for each call that is not made, and for the end of a connection, at a bound. */
  onLimit: (cause: RelayLimitCause, address: string) => void
}

/** One connection of a dispatcher to a relay, which makes its calls to runners. */
export class RelayServerConnection {
  readonly #req: IncomingMessage
  readonly #res: ServerResponse
  readonly #parts: RelayServerParts
  readonly #results: LineWriter
  readonly #runners: RunnerClients
  #callsInProgress = 0
  #isClosed = false

  constructor(req: IncomingMessage, res: ServerResponse, parts: RelayServerParts) {
    this.#req = req
    this.#res = res
    this.#parts = parts
    this.#runners = createRunnerClients(parts)
    this.#results = createLineWriter(res, resultDelayMs, bytes => {
      this.#noteUnread(bytes)
    })
    req.on('error', () => {
      this.close()
    })
    req.on('end', () => {
      this.close()
    })
    readLines(
      req,
      line => {
        if (this.#isClosed || parts.closeAfterPause()) return
        const call = parseCall(line)
        if (call === undefined) this.#reject()
        else void this.#carryOut(call, line.length)
      },
      () => {
        this.#reject()
      },
      change => {
        if (!parts.usage.addPartial(change)) this.closeAtBound('relay-lines')
      },
    )
  }

  showAlive(): void {
    this.#results.write(`{"id":${aliveId}}`)
  }

  closeAtBound(cause: RelayLimitCause): void {
    if (this.#isClosed) return
    this.#reportLimit(cause)
    this.close()
  }

  close(): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#req.destroy()
    this.#res.destroy()
    this.#runners.close()
    this.#parts.usage.setUnread(this, 0)
  }

  #reject(): void {
    this.#parts.log.warn('malformed call to the relay, its connection is closed')
    this.close()
  }

  #noteUnread(bytes: number): void {
    if (this.#isClosed) return
    this.#parts.usage.setUnread(this, bytes)?.closeAtBound('relay-results-unread')
  }

  async #carryOut(call: RelayedCall, length: number): Promise<void> {
    const { usage } = this.#parts
    const exceeded = usage.beginCall(length)
    if (exceeded !== undefined) {
      this.#refuse(call, exceeded)
      return
    }
    this.#callsInProgress += 1
    if (this.#callsInProgress >= maxCallsInProgress) this.#req.pause()
    const result = await this.#callRunner(call)
    usage.endCall(length)
    this.#callsInProgress -= 1
    if (this.#callsInProgress < maxCallsInProgress && !this.#isClosed) this.#req.resume()
    if (typeof result === 'string') {
      this.#refuse(call, result)
      return
    }
    if (result.outcome !== 'done') this.#logFailure(call, result.reason)
    this.#sendResult(call, result)
  }

  /** Returns the bound instead of a result when the call is not made because of it. */
  async #callRunner(call: RelayedCall): Promise<CallResult<unknown> | RelayLimitCause> {
    const verdict = this.#parts.fences.check(call.runnerId, call.order.fence)
    if (verdict === 'refused') return { outcome: 'done', value: fencedAnswers[call.kind] }
    if (verdict === 'full') return 'relay-fences'
    try {
      const result = await this.#runners.call(call, runner => {
        this.#parts.onCall(call.kind)
        return callRunner(runner, call)
      })
      return result ?? 'relay-runners'
    } catch (err) {
      return { outcome: 'unknown', reason: normalizeError(err).message }
    }
  }

  /** Answers a call that was not made; the dispatcher makes it itself. */
  #refuse(call: RelayedCall, cause: RelayLimitCause): void {
    this.#reportLimit(cause)
    this.#sendResult(call, relayFull)
  }

  #sendResult(call: RelayedCall, result: CallResult<unknown>): void {
    if (!this.#isClosed) this.#results.write(JSON.stringify({ id: call.id, result }))
  }

  #reportLimit(cause: RelayLimitCause): void {
    this.#parts.onLimit(cause, this.#req.socket.remoteAddress ?? '')
  }

  #logFailure({ kind, runnerId, order }: RelayedCall, reason: string): void {
    const task = 'task' in order ? order.task : undefined
    const fields = { call: kind, runner: runnerId, task, fence: order.fence, reason }
    this.#parts.log.info('relayed call to a runner failed', fields)
  }
}

/** Result of a call that was not made, because the relay is at a bound. */
const relayFull = { outcome: 'not-done', reason: relayFullReason } as const

/** Answers to calls whose fencing token is lower than one seen before. */
const fencedAnswers: Record<RelayedCall['kind'], unknown> = {
  start: { refusal: 'fence' },
  stop: { refusal: 'fence' },
  pace: { refusal: 'fence' },
  poll: { isFenced: true },
}

function callRunner(runner: RunnerApi, call: RelayedCall): Promise<CallResult<unknown>> {
  switch (call.kind) {
    case 'start':
      return runner.start({ ...call.order, ticket: call.order.ticket })
    case 'stop':
      return runner.stop(call.order)
    case 'pace':
      return runner.pace(call.order)
    case 'poll':
      return runner.poll({ ...call.order, leaseDeadline: call.order.leaseDeadline })
  }
}

function parseCall(line: string): RelayedCall | undefined {
  try {
    const parsed = relayedCallSchema.safeParse(JSON.parse(line))
    return parsed.success ? parsed.data : undefined
  } catch {
    // Not JSON; the caller logs it and closes the connection.
    return undefined
  }
}
