import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionState } from './client-limits.js'
import { splitReads } from './split-reads.js'

/** Options of {@link LimitedConnection}. */
export interface LimitedConnectionOptions {
  maxPipelinedRequests: number
  /** Called with the change of the number of bytes that are read and not parsed. */
  onHeldBytes: (change: number) => void
  /** Called with the change of the number of responses that are written and not read. */
  onUnread: (change: number) => void
}

interface Exchange {
  req: IncomingMessage
  res: ServerResponse
  /** Whether the response is written and waits for the client to read it. */
  isWritten: boolean
  /** Called when the request is answered. */
  onAnswered: (() => void) | undefined
}

/**
 * One connection of a client. It is not read while it has as many requests without a delivered response
 * as it may have, so that further ones wait in the kernel.
 */
export class LimitedConnection implements ConnectionState {
  readonly address: string
  readonly socket: Socket
  readonly #opts: LimitedConnectionOptions
  /** Requests without a delivered response, in the order of their arrival. */
  readonly #exchanges: Exchange[] = []
  #heldBytes = 0
  /**
   * Lower bound of the bytes of the last request's body that are not parsed; the headers in the piece in
   * which it began are subtracted as well.
   */
  #knownBodyBytes = 0
  #isPausedHere = false
  #isClosing = false
  #isReleased = false
  #activeAt: number
  #bytesRead = 0
  /** First time at which the next response was seen to be written and not read. */
  #unreadSince: number | undefined

  constructor(socket: Socket, now: number, opts: LimitedConnectionOptions) {
    this.socket = socket
    this.address = socket.remoteAddress ?? ''
    this.#activeAt = now
    this.#opts = opts
    splitReads(socket, {
      onHeld: bytes => {
        this.#setHeldBytes(bytes)
      },
      onParsed: bytes => {
        this.#knownBodyBytes = Math.max(0, this.#knownBodyBytes - bytes)
      },
      knownBodyBytes: () => this.#knownBodyBytes,
    })
    // Node resumes a socket after each message that it has parsed, to read a body, and after responses
    // were sent, each time without regard to who has paused it.
    const resume = socket.resume.bind(socket)
    socket.resume = () => (this.#isAtBound() ? socket : resume())
    socket.on('drain', () => {
      this.#resumeIfPossible()
    })
  }

  get openRequests(): number {
    return this.#exchanges.length
  }

  get isReceiving(): boolean {
    const [first] = this.#exchanges
    return this.#exchanges.length === 1 && first?.req.complete === false && !first.isWritten
  }

  get isAnswered(): boolean {
    return this.#exchanges.every(({ isWritten }) => isWritten)
  }

  get activeAt(): number {
    return this.#activeAt
  }

  /** Number of responses that are written and not read. */
  get unreadResponses(): number {
    return this.#exchanges.filter(({ isWritten }) => isWritten).length
  }

  get isClosing(): boolean {
    return this.#isClosing
  }

  /** Stops reading for good, because the response in progress is the last one. */
  stopReading(): void {
    this.#isClosing = true
    this.#pause()
  }

  /** Adds a request; `onAnswered` is called when it is answered, unless the connection ends before. */
  add(req: IncomingMessage, res: ServerResponse, onAnswered: () => void): void {
    this.#setHeldBytes(this.socket.readableLength)
    const exchange: Exchange = { req, res, isWritten: false, onAnswered }
    this.#exchanges.push(exchange)
    this.#knownBodyBytes = Number(req.headers['content-length'] ?? 0)
    res.once('close', () => {
      this.#remove(exchange)
    })
    if (this.#isAtBound()) this.#pause()
  }

  /** Notes that a response has been written. */
  answered(res: ServerResponse): void {
    const exchange = this.#exchanges.find(each => each.res === res)
    if (exchange === undefined || exchange.isWritten) return
    exchange.isWritten = true
    endProgress(exchange)
    this.#opts.onUnread(1)
  }

  /** Notes the time of progress; called at intervals. Returns how long a response was left unread. */
  check(now: number): number {
    this.#setHeldBytes(this.socket.readableLength)
    if (this.socket.bytesRead !== this.#bytesRead) {
      this.#bytesRead = this.socket.bytesRead
      this.#activeAt = now
    }
    const isUnread = this.#exchanges[0]?.isWritten === true || this.#isClosing
    if (!isUnread) this.#unreadSince = undefined
    else this.#unreadSince ??= now
    return now - (this.#unreadSince ?? now)
  }

  #isAtBound(): boolean {
    return this.#isClosing || this.#exchanges.length >= this.#opts.maxPipelinedRequests
  }

  #pause(): void {
    this.#isPausedHere = true
    this.socket.pause()
  }

  /** Node resumes the socket itself when it has paused it until the responses have been sent. */
  #resumeIfPossible(): void {
    if (!this.#isPausedHere || this.#isAtBound() || this.socket.writableNeedDrain) return
    this.#isPausedHere = false
    this.socket.resume()
  }

  #remove(exchange: Exchange): void {
    const index = this.#exchanges.indexOf(exchange)
    if (index === -1) return
    this.#exchanges.splice(index, 1)
    if (exchange.isWritten) this.#opts.onUnread(-1)
    endProgress(exchange)
    this.#unreadSince = undefined
    if (this.#exchanges.length === 0) this.#activeAt = performance.now()
    this.#resumeIfPossible()
  }

  #setHeldBytes(bytes: number): void {
    if (this.#isReleased) return
    const change = bytes - this.#heldBytes
    this.#heldBytes = bytes
    if (change !== 0) this.#opts.onHeldBytes(change)
  }

  /** Frees everything at the end; Node reports it only to the response that is being sent. */
  release(): void {
    for (const exchange of this.#exchanges.splice(0)) {
      if (exchange.isWritten) this.#opts.onUnread(-1)
    }
    this.#setHeldBytes(0)
    this.#isReleased = true
  }
}

function endProgress(exchange: Exchange): void {
  exchange.onAnswered?.()
  exchange.onAnswered = undefined
}
