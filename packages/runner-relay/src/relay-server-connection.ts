import type { IncomingMessage, ServerResponse } from 'node:http'
import { normalizeError } from '@bulrushbridge/errors'
import type { CallResult, RunnerApi } from '@bulrushbridge/scheduler'
import type { Logger } from '@bulrushbridge/telemetry'
import type { FenceRecord } from './fence-record.js'
import { createLineWriter, readLines, type LineWriter } from './line-stream.js'
import { aliveId, relayedCallSchema, type RelayedCall } from './relay-messages.js'
import type { RelayLimitCause, RelayUsage } from './relay-usage.js'

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
  /** Called when a connection is closed at a bound. */
  onLimit: (cause: RelayLimitCause, address: string) => void
}

/** One connection of a dispatcher to a relay, which makes its calls to runners. */
export class RelayServerConnection {
  readonly #req: IncomingMessage
  readonly #res: ServerResponse
  readonly #parts: RelayServerParts
  readonly #results: LineWriter
  readonly #runners = new Map<string, RunnerApi>()
  #callsInProgress = 0
  #isClosed = false

  constructor(req: IncomingMessage, res: ServerResponse, parts: RelayServerParts) {
    this.#req = req
    this.#res = res
    this.#parts = parts
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
        else void this.#carryOut(call)
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
    this.#parts.onLimit(cause, this.#req.socket.remoteAddress ?? '')
    this.close()
  }

  close(): void {
    if (this.#isClosed) return
    this.#isClosed = true
    this.#req.destroy()
    this.#res.destroy()
    for (const runner of this.#runners.values()) void runner.close()
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

  async #carryOut(call: RelayedCall): Promise<void> {
    const { fence } = call.order
    this.#callsInProgress += 1
    if (this.#callsInProgress >= maxCallsInProgress) this.#req.pause()
    let result: CallResult<unknown>
    if (!this.#parts.fences.accepts(call.runnerId, fence))
      result = { outcome: 'done', value: fencedAnswers[call.kind] }
    else {
      this.#parts.onCall(call.kind)
      try {
        result = await callRunner(this.#runnerOf(call), call)
      } catch (err) {
        result = { outcome: 'unknown', reason: normalizeError(err).message }
      }
    }
    this.#callsInProgress -= 1
    if (this.#callsInProgress < maxCallsInProgress && !this.#isClosed) this.#req.resume()
    if (result.outcome !== 'done') this.#logFailure(call, result.reason)
    if (!this.#isClosed) this.#results.write(JSON.stringify({ id: call.id, result }))
  }

  #logFailure({ kind, runnerId, order }: RelayedCall, reason: string): void {
    const task = 'task' in order ? order.task : undefined
    const fields = { call: kind, runner: runnerId, task, fence: order.fence, reason }
    this.#parts.log.info('relayed call to a runner failed', fields)
  }

  #runnerOf({ address, runnerId }: RelayedCall): RunnerApi {
    const key = `${address} ${runnerId}`
    let runner = this.#runners.get(key)
    if (runner === undefined) {
      runner = this.#parts.createRunner({ address, runnerId })
      this.#runners.set(key, runner)
    }
    return runner
  }
}

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
