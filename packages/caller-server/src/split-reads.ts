import type { Socket } from 'node:net'

/**
 * Most bytes that the HTTP parser gets at once. A pause of the socket takes effect between two pieces,
 * so this bounds the requests that are parsed after the bound of a connection: 28 of the shortest.
 */
const maxPieceBytes = 512

/**
 * Passes what a socket reads to the HTTP parser in small pieces, and calls `onHeld` with the number of
 * bytes that are read but not parsed.
 *
 * Node reads up to 64 KiB at once and parses all of it: 3,600 pipelined requests, each of which takes
 * about 3 KB, although the first of them pauses the socket.
 */
export function splitReads(socket: Socket, onHeld: (bytes: number) => void): void {
  // A listener of its own ends the direct connection of the socket's handle to the parser, which
  // bypasses the stream.
  socket.on('data', () => {
    // A flowing stream passes on all that it has buffered, also after it was destroyed.
    if (socket.destroyed) socket.pause()
  })
  const push = socket.push.bind(socket)
  socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
    if (!Buffer.isBuffer(chunk)) return push(chunk, encoding)
    let wantsMore = true
    for (let from = 0; from < chunk.length && !socket.destroyed; from += maxPieceBytes)
      wantsMore = push(chunk.subarray(from, from + maxPieceBytes))
    onHeld(socket.readableLength)
    return wantsMore && !socket.isPaused()
  }
}
