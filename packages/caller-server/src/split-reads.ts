import type { Socket } from 'node:net'

/**
 * Most bytes that the HTTP parser gets at once. A pause of the socket takes effect between two pieces,
 * so this bounds the requests that are parsed after the bound of a connection: 28 of the shortest.
 */
const maxPieceBytes = 512

/** Most bytes of a body that the HTTP parser gets at once; a request whose body is not read holds them. */
const maxBodyPieceBytes = 8_192

/** Options of {@link splitReads}. */
export interface SplitReadsOptions {
  /** Called with the number of bytes that are read but not parsed. */
  onHeld: (bytes: number) => void
  /** Called with the length of each piece when it has been parsed. */
  onParsed: (bytes: number) => void
  /** Number of the next bytes to be parsed that belong to the body of one request for certain. */
  knownBodyBytes: () => number
}

/**
 * Passes what a socket reads to the HTTP parser in small pieces.
 *
 * Node reads up to 64 KiB at once and parses all of it: 3,600 pipelined requests, each of which takes
 * about 3 KB, although the first of them pauses the socket.
 */
export function splitReads(socket: Socket, opts: SplitReadsOptions): void {
  // A listener of its own ends the direct connection of the socket's handle to the parser, which
  // bypasses the stream. It follows that of the parser.
  socket.on('data', (piece: Buffer) => {
    opts.onParsed(piece.length)
    // A flowing stream passes on all that it has buffered, also after it was destroyed.
    if (socket.destroyed) socket.pause()
  })
  const push = socket.push.bind(socket)
  const nextPieceBytes = () => {
    const bodyBytes = opts.knownBodyBytes() - socket.readableLength
    return Math.max(maxPieceBytes, Math.min(bodyBytes, maxBodyPieceBytes))
  }
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (!Buffer.isBuffer(chunk)) return push(chunk, encoding)
    let wantsMore = true
    for (let from = 0; from < chunk.length && !socket.destroyed;) {
      const to = from + nextPieceBytes()
      wantsMore = push(chunk.subarray(from, to))
      from = to
    }
    opts.onHeld(socket.readableLength)
    return wantsMore && !socket.isPaused()
  }
}
