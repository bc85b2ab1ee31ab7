import { connect, type Socket } from 'node:net'

/** Longest time for which a load goes on, in milliseconds. */
const maxLoadMs = 8_000

/** Time without progress of any client after which a load is over, in milliseconds. */
const stalledMs = 1_500

const checkIntervalMs = 50

/** Options of {@link runClients}. */
export interface ClientLoad {
  host: string
  port: number
  clients: number
  /** Sent first on each connection. */
  opening?: string
  /** Sent again and again after that. */
  repeated: string
  /** Bytes that each client sends at most, on all of its connections. */
  maxBytes: number
  /** Local addresses that the clients use in turn; by default the system chooses one. */
  localAddresses?: readonly string[]
  /** Time after which each client cuts its connection and opens a new one, in milliseconds. */
  reopenAfterMs?: number
  /** Bytes that each client reads in each 50 ms; by default it reads nothing. */
  readBytes?: number
}

/** A load whose connections are still open. */
export interface OpenLoad {
  close(): void
}

/** Times that each client connects again after its connection was closed by either side. */
const maxReconnects = 40

/**
 * Runs clients that send as fast as the server accepts it, never read by default, and connect again when
 * they are closed. Resolves when all have sent everything, when none makes progress any more, or at the
 * time limit; the connections stay open until `close` is called.
 *
 * @example
 * const load = await runClients({ host, port, clients: 60, repeated: request, maxBytes: 20_000_000 })
 * load.close()
 */
export async function runClients(load: ClientLoad): Promise<OpenLoad> {
  const block = Buffer.from(load.repeated.repeat(Math.ceil(65_536 / load.repeated.length)))
  const clients = Array.from({ length: load.clients }, (_, n) => new SendingClient(load, block, n))
  const endsAt = performance.now() + maxLoadMs
  let sentBytes = 0
  let progressAt = performance.now()
  while (performance.now() < endsAt && clients.some(client => !client.isDone())) {
    await new Promise(resolve => setTimeout(resolve, checkIntervalMs))
    const nowSentBytes = clients.reduce((sum, client) => sum + client.sentBytes(), 0)
    if (nowSentBytes !== sentBytes) progressAt = performance.now()
    sentBytes = nowSentBytes
    if (performance.now() - progressAt > stalledMs) break
  }
  return {
    close: () => {
      for (const client of clients) client.close()
    },
  }
}

class SendingClient {
  readonly #load: ClientLoad
  readonly #block: Buffer
  readonly #localAddress: string | undefined
  #socket: Socket
  #reconnects = 0
  /** Bytes that were sent on earlier connections. */
  #earlierBytes = 0
  #isClosed = false

  constructor(load: ClientLoad, block: Buffer, index: number) {
    const { localAddresses = [] } = load
    this.#load = load
    this.#block = block
    this.#localAddress = localAddresses[index % localAddresses.length]
    this.#socket = this.#connect()
  }

  sentBytes(): number {
    return this.#earlierBytes + this.#socket.bytesWritten - this.#socket.writableLength
  }

  isDone(): boolean {
    return this.#isClosed || this.sentBytes() >= this.#load.maxBytes
  }

  close(): void {
    this.#isClosed = true
    this.#socket.destroy()
  }

  #connect(): Socket {
    const { host, port, opening = '', reopenAfterMs } = this.#load
    const localAddress = this.#localAddress
    const socket = connect({ host, port, ...(localAddress === undefined ? {} : { localAddress }) })
    socket.on('connect', () => {
      // Without this the socket would read the first bytes of the responses.
      socket.pause()
      socket.write(opening)
      this.#send(socket)
      this.#readSlowly(socket)
      if (reopenAfterMs !== undefined) setTimeout(() => socket.destroy(), reopenAfterMs)
    })
    // The server may close the connection at any time.
    socket.on('error', () => undefined)
    socket.on('close', () => {
      if (this.isDone() || this.#reconnects === maxReconnects) {
        this.#isClosed = true
        return
      }
      this.#reconnects += 1
      this.#earlierBytes = this.sentBytes()
      this.#socket = this.#connect()
    })
    return socket
  }

  #readSlowly(socket: Socket): void {
    const { readBytes } = this.#load
    if (readBytes === undefined) return
    const timer = setInterval(() => {
      socket.read(Math.min(readBytes, socket.readableLength))
    }, 50)
    socket.on('close', () => {
      clearInterval(timer)
    })
  }

  /** Writes blocks, each when the kernel has taken the one before. */
  #send(socket: Socket): void {
    if (socket.destroyed || this.isDone()) return
    socket.write(this.#block, err => {
      if (!err)
        setImmediate(() => {
          this.#send(socket)
        })
    })
  }
}
